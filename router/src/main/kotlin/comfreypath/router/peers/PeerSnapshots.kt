package comfreypath.router.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.fold
import comfreypath.router.RouterContext
import comfreypath.router.store.ObjectChange
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.StoredObject
import comfreypath.router.view.StoreSink
import comfreypath.transport.Address
import comfreypath.transport.HttpClient
import comfreypath.transport.HttpServer
import comfreypath.transport.HttpServerOptions
import comfreypath.transport.IncomingRequest
import comfreypath.transport.OutgoingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.decodeJson
import comfreypath.transport.json
import comfreypath.transport.whole
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.Serializable
import java.time.Duration
import java.time.Instant

/**
 * What a router knows of the objects of one kind, as it passes it on: all of it, or what changed since a revision.
 *
 * @property revision the store's revision at which it held
 * @property ageMilliseconds how long before the answer the store had said nothing newer
 * @property documents the objects as the store wrote them
 * @property since the revision after which [documents] and [removed] are the changes; null when [documents] are all
 * @property removed the names of objects that were removed
 * @property hash of the names and revisions of all objects, as in a digest; null when [documents] are all
 */
@Serializable
data class KindSnapshot(
    val revision: Long,
    val ageMilliseconds: Long,
    val documents: List<String>,
    val since: Long? = null,
    val removed: List<String> = emptyList(),
    val hash: Int? = null,
)

/** The copy of the objects of a kind for a router that knows all up to a revision; null while none can be given. */
typealias SnapshotSource = (since: Long?) -> KindSnapshot?

/** What taking a peer's copy in led to. */
private enum class Taken {
    /** Nothing was taken in: the peer gave no copy, or this router has learnt more meanwhile. */
    NOTHING,

    /** This router knows what the peer knows. */
    SAME,

    /** This router had missed an earlier change, so that it still differs from the peer. */
    DIFFERENT,
}

/** Passes on to other routers what the store said, and asks them for it while the store can't be reached. */
class PeerSnapshots(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val sources: Map<String, SnapshotSource>,
) {
    private val server = HttpServer(context.loop, HttpServerOptions(), ::handle)
    private val client = HttpClient(context.loop, context.clock)

    /** Starts to answer other routers. */
    suspend fun start() {
        server.start(context.options.peerAddress)
    }

    /** Stops answering. */
    suspend fun stop() = server.stop()

    private suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        val copy = sources[request.path.removePrefix(PATH)]?.invoke(request.query(SINCE)?.toLongOrNull())
        if (copy == null) {
            writer.whole(HttpResponseStatus.NOT_FOUND, emptyMap(), ByteArray(0))
        } else {
            writer.json(HttpResponseStatus.OK, copy)
        }
    }

    /**
     * Asks [peer] for what it knows of a kind and gives it to [sink]; false when that brought nothing.
     *
     * The peer is asked for the changes since [sink]'s revision if there is one, and for all objects if those changes
     * don't lead to what the peer has.
     */
    suspend fun <T : Any> fetch(peer: Address, kind: ObjectKind<T>, sink: StoreSink<T>): Boolean =
        when (fetchSince(peer, kind, sink, sink.digest?.revision)) {
            Taken.NOTHING -> false
            Taken.SAME -> true
            Taken.DIFFERENT -> fetchSince(peer, kind, sink, since = null) != Taken.NOTHING
        }

    private suspend fun <T : Any> fetchSince(
        peer: Address,
        kind: ObjectKind<T>,
        sink: StoreSink<T>,
        since: Long?,
    ): Taken {
        val sentAt = context.now()
        val timeout = Duration.ofMillis(CALL_MILLISECONDS)
        val path = PATH + kind.label + since?.let { "?$SINCE=$it" }.orEmpty()
        val request = OutgoingRequest(HttpMethod.GET, path, headTimeout = timeout, pieceTimeout = timeout)
        val copy = client.whole(peer, request).fold(
            success = { response ->
                if (response.successful) decodeJson<KindSnapshot>(response.text()).fold({ it }, { null }) else null
            },
            failure = { null },
        )
        val taken = copy?.let { take(it, kind, sink, sentAt) } ?: Taken.NOTHING
        context.log.record(
            "copy_fetched",
            "kind" to kind.label,
            "peer" to peer,
            "since" to copy?.since,
            "revision" to copy?.revision,
            "documents" to copy?.documents?.size,
            "outcome" to taken,
        )
        return taken
    }

    private fun <T : Any> take(copy: KindSnapshot, kind: ObjectKind<T>, sink: StoreSink<T>, sentAt: Instant): Taken {
        val objects: List<StoredObject<T>> = copy.documents.mapNotNull { store.decode(kind, it) }
        val confirmedAt = sentAt.minusMillis(copy.ageMilliseconds)
        return when (copy.since) {
            null -> Taken.SAME.also { sink.replace(objects, copy.revision, confirmedAt) }
            sink.digest?.revision -> {
                val changed = objects.map { ObjectChange(it, removed = false) }
                sink.apply(removals<T>(copy) + changed, copy.revision, confirmedAt)
                if (sink.digest?.hash == copy.hash) Taken.SAME else Taken.DIFFERENT
            }
            else -> Taken.NOTHING
        }
    }

    private fun <T : Any> removals(copy: KindSnapshot): List<ObjectChange<T>> = copy.removed.map { name ->
        ObjectChange(StoredObject(name, copy.revision, Err("removed"), document = ""), removed = true)
    }

    private companion object {
        const val PATH = "/v1/copies/"
        const val SINCE = "since"
        const val CALL_MILLISECONDS = 800L
    }
}
