package comfreypath.coordination.fleet

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.time.Instant

/** Guards against routers that go on sending to an endpoint that has left, until they can fetch the list. */
class DepartureLogTest {
    private val now = Instant.ofEpochSecond(1_000)
    private val told = Departures(mapOf(KEY to 20L))

    @Test
    fun `a router that hears of a departure holds the endpoint for gone before it has the list`() {
        val behind = DepartureLog().heard(told, revision = 19, now)
        expectThat(behind.hasLeft(KEY, 19, now)).isTrue()
        expectThat(behind.hasLeft(OTHER_KEY, 19, now)).isFalse()
    }

    @Test
    fun `a list that is as recent decides by itself, also if the endpoint has registered again`() {
        val caughtUp = DepartureLog().heard(told, revision = 19, now).listed(emptyList(), revision = 20, now)
        expectThat(caughtUp.hasLeft(KEY, 20, now)).isFalse()
        expectThat(caughtUp.heard(told, revision = 20, now).hasLeft(KEY, 20, now)).isFalse()
    }

    @Test
    fun `a router tells only of departures in its own list, so that they don't circulate`() {
        val heard = DepartureLog().heard(told, revision = 19, now)
        expectThat(heard.toTell(now)).isNull()
        val listed = heard.listed(listOf(KEY), revision = 21, now)
        expectThat(listed.toTell(now)).isEqualTo(Departures(mapOf(KEY to 21L)))
        expectThat(listed.toTell(now.plusSeconds(10))).isNull()
    }

    @Test
    fun `a departure that no list shows is forgotten`() {
        val heard = DepartureLog().heard(told, revision = 19, now)
        expectThat(heard.hasLeft(KEY, 19, now.plusSeconds(30))).isFalse()
    }

    @Test
    fun `the numbers of departures that are told and kept are bounded, and the latest count`() {
        val log = DepartureLog().listed((1..1_000).toList(), revision = 30, now).listed(listOf(KEY), revision = 31, now)
        expectThat(log.toTell(now)?.revisions?.size).isEqualTo(64)
        expectThat(log.toTell(now)?.revisions?.get(KEY)).isEqualTo(31L)
        val many = Departures((1..1_000).associateWith { 20L + it })
        expectThat(DepartureLog().heard(many, revision = 19, now).heard.size).isEqualTo(512)
    }

    @Test
    fun `departures take few bytes in a status message`() {
        val text = Json.encodeToString(Departures(mapOf(-5 to 40L, 70 to 41L)))
        expectThat(text).isEqualTo("\"-5:14,1y:15\"")
        expectThat(Json.decodeFromString<Departures>(text)).isEqualTo(Departures(mapOf(-5 to 40L, 70 to 41L)))
    }

    private companion object {
        const val KEY = 7
        const val OTHER_KEY = -8
    }
}
