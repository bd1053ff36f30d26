package comfreypath.coordination.claims

import comfreypath.coordination.model.TeamName
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.time.Instant

/** Guards against a renamed property with which claims already in the store could no longer be read. */
class ClaimShardWireFormatTest {
    private val content = ClaimShardContent(
        mapOf(
            ClaimKey(TeamName("north"), "first").text to ClaimRecord(
                attempt = AttemptId("front-1-7"),
                fingerprint = -42,
                claimedAt = Instant.parse("2026-12-04T08:00:00Z"),
                released = true,
            ),
            ClaimKey(TeamName("team:b"), "second").text to ClaimRecord(
                attempt = AttemptId("front-2-8"),
                fingerprint = 42,
                claimedAt = Instant.parse("2026-12-04T08:00:01.500Z"),
                response = RecordedResponse(status = 201, contentType = "text/plain", body = "booked"),
            ),
            ClaimKey(TeamName("north"), "third").text to ClaimRecord(
                attempt = AttemptId("front-1-9"),
                fingerprint = 0,
                claimedAt = Instant.EPOCH,
                response = RecordedResponse(status = 200),
            ),
        ),
    )
    private val text = """{"claims":{""" +
        """"5:north:first":{"a":"front-1-7","f":-42,"t":"2026-12-04T08:00:00Z","r":true},""" +
        """"6:team:b:second":{"a":"front-2-8","f":42,"t":"2026-12-04T08:00:01.500Z",""" +
        """"o":{"s":201,"c":"text/plain","b":"booked"}},""" +
        """"5:north:third":{"a":"front-1-9","f":0,"t":"1970-01-01T00:00:00Z","o":{"s":200}}}}"""

    @Test
    fun `a shard of claims has this text`() {
        expectThat(Json.encodeToString(content)).isEqualTo(text)
    }

    @Test
    fun `a shard of claims is read from this text`() {
        expectThat(Json.decodeFromString<ClaimShardContent>(text)).isEqualTo(content)
    }

    @Test
    fun `the content type of a recorded response defaults to JSON`() {
        expectThat(Json.decodeFromString<RecordedResponse>("""{"s":200}"""))
            .isEqualTo(RecordedResponse(status = 200, contentType = "application/json", body = null))
    }
}
