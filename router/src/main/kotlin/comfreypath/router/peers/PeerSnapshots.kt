package comfreypath.router.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import comfreypath.coordination.facts.StoreVersion
import comfreypath.router.Listener
import comfreypath.router.RouterContext
import comfreypath.router.internalServer
import comfreypath.router.store.ObjectChange
import comfreypath.router.store.ObjectKind
import comfreypath.router.store.ObjectStore
import comfreypath.router.store.StoredObject
import comfreypath.router.view.StoreSink
import comfreypath.transport.Address
import comfreypath.transport.ClientResponse
import comfreypath.transport.GZIP_ENCODING
import comfreypath.transport.HttpClient
import comfreypath.transport.IncomingRequest
import comfreypath.transport.JSON_CONTENT_TYPE
import comfreypath.transport.OutgoingRequest
import comfreypath.transport.ResponseWriter
import comfreypath.transport.gunzip
import comfreypath.transport.respond
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import kotlinx.serialization.Serializable
import java.time.Duration
import java.time.Instant

/**
 * The objects of one kind that a router sends to a peer: a snapshot of all objects, or a delta since a revision.
 *
 * @property revision the store revision that the objects reflect
 * @property ageMilliseconds how long before the response the objects were last confirmed to be current
 * @property documents the objects as the store wrote them
 * @property since the revision that the delta is based on; null if [documents] holds all objects
 * @property removed the names of the objects removed after [since]
 * @property hash the hash of the names and revisions of all objects, to check the result; null for a full snapshot
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

/** The delta of a kind since a revision, or its full snapshot; null while there is none. */
typealias SnapshotSource = (since: Long?) -> KindSnapshot?

/** The outcome of fetching a peer's snapshot. The names appear in log lines. */
private enum class FetchOutcome {
    /** Nothing was applied: the peer sent no snapshot, or this router's revision has changed since the request. */
    NOTHING,

    /** This router has the same objects as the peer. */
    SAME,

    /** This router still differs from the peer, because it missed a change before the delta. */
    DIFFERENT,
}

/** Serves the store's objects to peers, and fetches them from peers while the store is unreachable or not watched. */
class PeerSnapshots(
    private val context: RouterContext,
    private val store: ObjectStore,
    private val sources: Map<String, SnapshotSource>,
) {
    private val server = context.internalServer(Listener.PEERS, ::handle)
    private val client = HttpClient(context.loop, context.clock)
    private val encoder = SnapshotEncoder()

    /** Starts serving peers. */
    suspend fun start() {
        server.start(context.options.peerAddress)
    }

    /** Stops serving peers. */
    suspend fun stop() = server.stop()

    private suspend fun handle(request: IncomingRequest, writer: ResponseWriter) {
        val label = request.path.removePrefix(PATH)
        val snapshot = sources[label]?.invoke(request.queryParameter(SINCE)?.toLongOrNull())
        if (snapshot == null) {
            writer.respond(HttpResponseStatus.NOT_FOUND, emptyMap(), ByteArray(0))
        } else {
            val compress = request.headers[ACCEPT_ENCODING] == GZIP_ENCODING
            val body = encoder.encode(label, snapshot, context.now(), compress)
            val encoding = body.encoding?.let { mapOf(CONTENT_ENCODING to it) }.orEmpty()
            writer.respond(HttpResponseStatus.OK, encoding + (CONTENT_TYPE to JSON_CONTENT_TYPE), body.bytes)
        }
    }

    /**
     * Fetches the objects of a kind from [peer] and applies them to [sink]; returns false if not all were obtained.
     *
     * Requests the delta since [sink]'s revision if it has one, and then a full snapshot if the delta does not lead to
     * the peer's state.
     */
    suspend fun <T : Any> fetch(peer: Address, kind: ObjectKind<T>, sink: StoreSink<T>): Boolean =
        when (fetchSince(peer, kind, sink, sink.digest?.revision)) {
            FetchOutcome.NOTHING -> false
            FetchOutcome.SAME -> true
            FetchOutcome.DIFFERENT -> fetchSince(peer, kind, sink, since = null) != FetchOutcome.NOTHING
        }

    private suspend fun <T : Any> fetchSince(
        peer: Address,
        kind: ObjectKind<T>,
        sink: StoreSink<T>,
        since: Long?,
    ): FetchOutcome {
        val sentAt = context.now()
        val timeout = Duration.ofMillis(TIMEOUT_MILLISECONDS)
        val path = PATH + kind.label + since?.let { "?$SINCE=$it" }.orEmpty()
        val accepted = mapOf(ACCEPT_ENCODING to GZIP_ENCODING)
        val request = OutgoingRequest(HttpMethod.GET, path, accepted, headTimeout = timeout, chunkTimeout = timeout)
        val snapshot = client.fetch(peer, request).mapError { it.toString() }.andThen(::decode).fold(
            success = { it },
            failure = { reason ->
                context.log.record("copy_unreadable", "kind" to kind.label, "peer" to peer, "reason" to reason)
                null
            },
        )
        val outcome = snapshot?.let { apply(it, kind, sink, sentAt) } ?: FetchOutcome.NOTHING
        context.log.record(
            "copy_fetched",
            "kind" to kind.label,
            "peer" to peer,
            "since" to snapshot?.since?.let(StoreVersion::label),
            "revision" to snapshot?.revision?.let(StoreVersion::label),
            "documents" to snapshot?.documents?.size,
            "outcome" to outcome,
        )
        return outcome
    }

    private fun decode(response: ClientResponse): Result<KindSnapshot, String> = when {
        !response.successful -> Err("status ${response.status}")
        response.headers[CONTENT_ENCODING] == GZIP_ENCODING ->
            gunzip(response.body, MAX_SNAPSHOT_BYTES).andThen { decodeKindSnapshot(it.decodeToString()) }
        else -> decodeKindSnapshot(response.text())
    }

    private fun <T : Any> apply(
        snapshot: KindSnapshot,
        kind: ObjectKind<T>,
        sink: StoreSink<T>,
        sentAt: Instant,
    ): FetchOutcome {
        val objects: List<StoredObject<T>> = snapshot.documents.mapNotNull {
            store.decode(kind, it, StoreVersion(snapshot.revision).era)
        }
        val confirmedAt = sentAt.minusMillis(snapshot.ageMilliseconds)
        return when (snapshot.since) {
            null -> FetchOutcome.SAME.also { sink.replace(objects, snapshot.revision, confirmedAt) }
            sink.digest?.revision -> {
                val changes = removals<T>(snapshot) + objects.map { ObjectChange(it, removed = false) }
                // A delta that does not lead to the peer's objects would hide what this router has missed.
                if (sink.digestAfter(changes, snapshot.revision)?.hash == snapshot.hash) {
                    sink.apply(changes, snapshot.revision, confirmedAt)
                    FetchOutcome.SAME
                } else {
                    FetchOutcome.DIFFERENT
                }
            }
            else -> FetchOutcome.NOTHING
        }
    }

    private fun <T : Any> removals(snapshot: KindSnapshot): List<ObjectChange<T>> = snapshot.removed.map { name ->
        ObjectChange(StoredObject(name, snapshot.revision, Err("removed"), document = ""), removed = true)
    }

    private companion object {
        const val PATH = "/v1/copies/"
        const val SINCE = "since"
        const val TIMEOUT_MILLISECONDS = 800L
        const val CONTENT_TYPE = "content-type"
        const val CONTENT_ENCODING = "content-encoding"
        const val ACCEPT_ENCODING = "accept-encoding"
        const val MAX_SNAPSHOT_BYTES = 8 * 1_048_576
    }
}
