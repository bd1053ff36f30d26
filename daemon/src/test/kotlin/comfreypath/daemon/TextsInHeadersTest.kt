package comfreypath.daemon

import comfreypath.coordination.model.TeamName
import comfreypath.coordination.routing.Team
import comfreypath.daemon.demo.PlatformRequest
import comfreypath.platform.PlatformHeaders
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toImmutableList
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.single

/**
 * Guards against texts of the configuration that reach servers as other texts, so that servers can't tell two teams
 * apart, or that make every request of a team fail.
 */
class TextsInHeadersTest {
    /** Pairs differ only in what an encoder of headers may drop, replace or refuse. */
    private val names = listOf(
        "\u0426\u0430\u0445\u0438\u0440", "\u0425\u0430\u0439\u0440\u0445",
        "k\u00e4rki", "k\u00c3\u00a4rki",
        "\u5317", "\u5357",
        "\ud83d\ude80", "\ud83d\ude82",
        "a", "a ",
        "b\nX-Hold: 1", "b\rX-Hold: 1",
        "c%0A", "c\n",
        "UTF-8''c%0A", "d\u0000",
    )

    /** Waits until the last of [teams] is in force; its first key must be one that no team had before. */
    private suspend fun PlatformFixture.useTeams(teams: List<Team>) {
        fleet.storeAdmin.updateConfiguration { it.copy(teams = teams.toImmutableList()) }
        val last = teams.last().apiKeys.first()
        eventually("the new keys") {
            call(PlatformRequest("history", "probe-${probes++}", key = last))?.status == SUCCESS
        }
    }

    private var probes = 0

    private suspend fun PlatformFixture.headerSeen(id: String): String? =
        requestsSeen(id).single().request.headers.get(PlatformHeaders.TEAM)

    @Test
    fun `servers can tell teams apart, whatever the letters of their names`() = PlatformFixture().run {
        useTeams(names.mapIndexed { number, name -> Team(TeamName(name), persistentListOf("key-$number"), null) })
        val seen = names.indices.map { number ->
            expectThat(call(PlatformRequest("history", "n$number", key = "key-$number"))?.status).isEqualTo(SUCCESS)
            expectThat(requestsSeen("n$number")).single().get { request.headers.contains("X-Hold") }.isEqualTo(false)
            headerSeen("n$number")
        }
        expectThat(seen.toSet()).hasSize(names.size)
    }

    @Test
    fun `a team's name arrives in UTF-8`() = PlatformFixture().run {
        useTeams(listOf(Team(TeamName("\u0426\u0430\u0445\u0438\u0440"), persistentListOf("new-1"), priority = null)))
        call(PlatformRequest("history", "n1", key = "new-1"))
        val bytes = headerSeen("n1")?.toByteArray(Charsets.ISO_8859_1)
        expectThat(bytes?.decodeToString()).isEqualTo("\u0426\u0430\u0445\u0438\u0440")
    }

    @Test
    fun `a key beyond Latin letters is accepted as its UTF-8 bytes, and another one is not`() = PlatformFixture().run {
        val key = "\u043a\u043b\u044e\u0447-1"
        useTeams(listOf(Team(TeamName("team"), persistentListOf("new-1", key), priority = null)))
        fun sent(text: String) = text.encodeToByteArray().toString(Charsets.ISO_8859_1)
        expectThat(call(PlatformRequest("history", "k1", key = sent(key)))?.status).isEqualTo(SUCCESS)
        val other = call(PlatformRequest("history", "k2", key = sent("\u043a\u043b\u044e\u0447-2")))
        expectThat(other?.status).isNotEqualTo(SUCCESS)
    }

    private companion object {
        const val SUCCESS = 200
    }
}
