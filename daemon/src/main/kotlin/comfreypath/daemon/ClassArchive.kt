package comfreypath.daemon

import java.io.File
import java.io.IOException

private const val ARCHIVE_OPTION = "-XX:SharedArchiveFile="

/**
 * Tells whether the virtual machine uses the archive of classes that its command line names.
 *
 * An archive that was made from other libraries, or in another folder, is passed over by the virtual machine, which
 * says so on its own log only. A start takes twice as long without it.
 */
internal object ClassArchive {
    /** The archive that this process was started with and does not use; null if there is none, or it is not known. */
    fun unused(): String? = try {
        unused(File("/proc/self/cmdline").readText().split('\u0000'), File("/proc/self/maps").readText())
    } catch (_: IOException) {
        null
    }

    /**
     * The archive that [commandLine] names, if none of the files in [memoryMap] is this one.
     *
     * @param commandLine the arguments of the process
     * @param memoryMap the files that the process has mapped, one a line, in the format of Linux
     */
    fun unused(commandLine: List<String>, memoryMap: String): String? =
        commandLine.lastOrNull { it.startsWith(ARCHIVE_OPTION) }?.removePrefix(ARCHIVE_OPTION)
            ?.takeUnless { "${File(it).absolutePath}\n" in memoryMap }
}
