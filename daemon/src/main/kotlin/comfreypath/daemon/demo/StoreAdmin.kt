package comfreypath.daemon.demo

import com.github.michaelbull.result.getOrElse
import comfreypath.coordination.model.DataCentreName
import comfreypath.coordination.model.ServiceName
import comfreypath.coordination.routing.Configuration
import comfreypath.coordination.routing.Endpoint
import comfreypath.coordination.routing.Rollout
import comfreypath.platform.PlatformDocuments
import comfreypath.platform.StoreWire
import comfreypath.router.store.ObjectKinds
import comfreypath.transport.Address
import comfreypath.transport.HttpClient
import comfreypath.transport.OutgoingRequest
import comfreypath.transport.dispatcher
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonObject

/** Writes to the object store as operators and servers do. */
class StoreAdmin(private val loop: EventLoop, private val store: Address) {
    private val client = HttpClient(loop)
    private val configurationPath = "${PlatformDocuments.CONFIGURATION_KIND}/${ObjectKinds.CONFIGURATION_NAME}"

    /** Creates the entry of a server. */
    suspend fun register(endpoint: Endpoint) =
        create(PlatformDocuments.ENDPOINT_KIND, endpoint.name.text, PlatformDocuments.encode(endpoint, heartbeats = 1))

    /** Replaces the entry of a registered server. */
    suspend fun updateRegistration(endpoint: Endpoint) {
        val path = "${PlatformDocuments.ENDPOINT_KIND}/${endpoint.name.text}"
        val document = buildJsonObject {
            put(StoreWire.METADATA, buildJsonObject { put(StoreWire.NAME, JsonPrimitive(endpoint.name.text)) })
            put(StoreWire.SPEC, PlatformDocuments.encode(endpoint, heartbeats = 2))
        }
        call(HttpMethod.PUT, path, document.toString())
    }

    /** Deletes the entry of a server. */
    suspend fun deregister(endpoint: Endpoint) {
        call(HttpMethod.DELETE, "${PlatformDocuments.ENDPOINT_KIND}/${endpoint.name.text}", "")
    }

    /** Creates the configuration. */
    suspend fun createConfiguration(configuration: Configuration) = create(
        PlatformDocuments.CONFIGURATION_KIND,
        ObjectKinds.CONFIGURATION_NAME,
        PlatformDocuments.encode(configuration),
    )

    /** Replaces the configuration with the result of [change] and increments its version. */
    suspend fun updateConfiguration(change: (Configuration) -> Configuration) {
        val current = Json.parseToJsonElement(call(HttpMethod.GET, configurationPath, "")).jsonObject
        val value = PlatformDocuments.decodeConfiguration(current.getValue(StoreWire.SPEC).jsonObject)
        val next = change(value).copy(version = value.version + 1)
        val document = JsonObject(current + (StoreWire.SPEC to PlatformDocuments.encode(next)))
        call(HttpMethod.PUT, configurationPath, document.toString())
    }

    /** Creates or deletes the order to evacuate a data centre. */
    suspend fun setEvacuated(dataCentre: DataCentreName, evacuated: Boolean) {
        if (evacuated) {
            create(PlatformDocuments.EVACUATION_KIND, dataCentre.text, JsonObject(emptyMap()))
        } else {
            call(HttpMethod.DELETE, "${PlatformDocuments.EVACUATION_KIND}/${dataCentre.text}", "")
        }
    }

    /** Creates the order to roll out a version. */
    suspend fun orderRollout(rollout: Rollout) =
        create(PlatformDocuments.ROLLOUT_KIND, rollout.service.text, PlatformDocuments.encode(rollout))

    /** The state that the routers have recorded for the rollout of [service]; null if there is none. */
    suspend fun rolloutState(service: ServiceName): String? {
        val path = "${PlatformDocuments.ROLLOUT_KIND}/$service"
        val status = Json.parseToJsonElement(call(HttpMethod.GET, path, "")).jsonObject[StoreWire.STATUS] as? JsonObject
        return (status?.get("state") as? JsonPrimitive)?.content
    }

    private suspend fun create(kind: String, name: String, spec: JsonElement) {
        val document = buildJsonObject {
            put(StoreWire.METADATA, buildJsonObject { put(StoreWire.NAME, JsonPrimitive(name)) })
            put(StoreWire.SPEC, spec)
        }
        call(HttpMethod.POST, kind, document.toString())
    }

    private suspend fun call(method: HttpMethod, path: String, body: String): String = withContext(loop.dispatcher()) {
        val request = OutgoingRequest(method, StoreWire.OBJECTS_PATH + path, body = body.encodeToByteArray())
        client.fetch(store, request).getOrElse { error("the object store did not respond: $it") }.text()
    }
}
