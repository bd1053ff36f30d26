package comfreypath.transport

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException
import java.nio.channels.ClosedChannelException

class UnansweredReasonTest {
    @Test
    fun `a write to a connection that the client has closed counts as the client's close`() {
        expectThat(UnansweredReason.ofFailedWrite(IOException("Broken pipe"), ownReason = null))
            .isEqualTo(UnansweredReason.CLIENT_CLOSED)
        expectThat(UnansweredReason.ofFailedWrite(ClosedChannelException(), ownReason = null))
            .isEqualTo(UnansweredReason.CLIENT_CLOSED)
    }

    @Test
    fun `a write to a connection that the server has closed has the server's reason`() {
        expectThat(UnansweredReason.ofFailedWrite(ClosedChannelException(), UnansweredReason.SERVER_STOPPED))
            .isEqualTo(UnansweredReason.SERVER_STOPPED)
    }

    @Test
    fun `a part that can't be encoded is a failed write`() {
        expectThat(UnansweredReason.ofFailedWrite(IllegalStateException("unexpected message"), ownReason = null))
            .isEqualTo(UnansweredReason.WRITE_FAILED)
    }
}
