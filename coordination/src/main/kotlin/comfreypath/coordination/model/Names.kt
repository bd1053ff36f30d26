package comfreypath.coordination.model

import kotlinx.serialization.Serializable

/** Identifies an instance, a machine that runs one router. */
@Serializable
@JvmInline
value class InstanceName(val text: String) : Comparable<InstanceName> {
    override fun compareTo(other: InstanceName): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** Identifies a data centre (zone). */
@Serializable
@JvmInline
value class DataCentreName(val text: String) {
    override fun toString(): String = text
}

/** Identifies a team (customer). */
@Serializable
@JvmInline
value class TeamName(val text: String) {
    override fun toString(): String = text
}

/** Identifies a service: a model that engines serve, or a plain service. */
@Serializable
@JvmInline
value class ServiceName(val text: String) {
    override fun toString(): String = text
}

/** Identifies a version of a service; each endpoint runs one. */
@Serializable
@JvmInline
value class VersionName(val text: String) {
    override fun toString(): String = text
}

/** Identifies an endpoint, usually one start of a server. */
@Serializable
@JvmInline
value class EndpointName(val text: String) : Comparable<EndpointName> {
    override fun compareTo(other: EndpointName): Int = text.compareTo(other.text)
    override fun toString(): String = text
}

/** Identifies one request. It is checked at every hop of the response. */
@Serializable
@JvmInline
value class RequestId(val text: String) {
    override fun toString(): String = text
}
