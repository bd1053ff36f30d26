package comfreypath.coordination.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a request that failed may have run at an endpoint. */
@Serializable
enum class Verdict {
    /** No endpoint has run or will run the request. */
    @SerialName("notRun")
    NOT_RUN,

    /** An endpoint may have run the request, completely or in part. */
    @SerialName("mayHaveRun")
    MAY_HAVE_RUN,
}
