package comfreypath.standins

import kotlinx.serialization.Serializable

/**
 * The faults that an engine stand-in injects. `POST /faults` replaces all of them.
 *
 * @property slowFactor the factor by which generation is slowed down
 * @property failing responds to every completion request with status 500
 * @property silent accepts requests but sends no response, and keeps the connections open
 * @property cutAfterPieces aborts each stream once after this many chunks; 0 for never
 * @property repeatPieces sends each chunk twice
 * @property crossPieces sends a chunk of another request after each chunk
 * @property restart makes the engine cold again and empties its cache, once, when the faults are set
 */
@Serializable
data class EngineFaults(
    val slowFactor: Int = 1,
    val failing: Boolean = false,
    val silent: Boolean = false,
    val cutAfterPieces: Int = 0,
    val repeatPieces: Boolean = false,
    val crossPieces: Boolean = false,
    val restart: Boolean = false,
)
