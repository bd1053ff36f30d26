package comfreypath.router.peers

import com.github.michaelbull.result.fold
import comfreypath.router.RouterContext
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

private const val PATH = "/v1/copies/"
private const val CALL_MILLISECONDS = 800L

/**
 * What a router knows of the objects of one kind, as it passes it on.
 *
 * @property revision the store's revision at which it held
 * @property ageMilliseconds how long before the answer the store had said nothing newer
 * @property documents the objects as the store wrote them
 */
@Serializable
data class KindCopy(val revision: Long, val ageMilliseconds: Long, val documents: List<String>)

/** The copy of the objects of a kind that a router can give; null while it knows none. */
typealias CopySource = () -> KindCopy?

/** Passes on to other routers what the store said, and asks them for it while the store can't be reached. */
class PeerCopies(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val sources: Map<String, CopySource>,
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
        val copy = sources[request.path.removePrefix(PATH)]?.invoke()
        if (copy == null) {
            writer.whole(HttpResponseStatus.NOT_FOUND, emptyMap(), ByteArray(0))
        } else {
            writer.json(HttpResponseStatus.OK, copy)
        }
    }

    /** Asks [peer] for its copy of a kind and gives it to [sink]; false when that brought nothing. */
    suspend fun <T : Any> fetch(peer: Address, kind: ObjectKind<T>, sink: StoreSink<T>): Boolean {
        val sentAt = context.now()
        val timeout = Duration.ofMillis(CALL_MILLISECONDS)
        val request = OutgoingRequest(HttpMethod.GET, PATH + kind.label, headTimeout = timeout, pieceTimeout = timeout)
        val copy = client.whole(peer, request).fold(
            success = { response ->
                if (response.successful) decodeJson<KindCopy>(response.text()).fold({ it }, { null }) else null
            },
            failure = { null },
        )
        context.log.record("copy_fetched", "kind" to kind.label, "peer" to peer, "revision" to copy?.revision)
        copy?.let { take(it, kind, sink, sentAt) }
        return copy != null
    }

    private fun <T : Any> take(copy: KindCopy, kind: ObjectKind<T>, sink: StoreSink<T>, sentAt: Instant) {
        val objects: List<StoredObject<T>> = copy.documents.mapNotNull { store.decode(kind, it) }
        sink.replace(objects, copy.revision, sentAt.minusMillis(copy.ageMilliseconds))
    }
}
