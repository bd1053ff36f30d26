package comfreypath.daemon

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import java.io.File

class ClassArchiveTest {
    private val path = File("target/a.jsa").absolutePath
    private val commandLine = listOf("java", "-XX:SharedArchiveFile=target/a.jsa", "-jar", "target/a.jar", "router")
    private val libraries = "ffff8000-ffff9000 r-xp 00000000 08:01 42    /usr/lib/libc.so.6\n"

    @Test
    fun `an archive that the virtual machine has passed over is told`() {
        expectThat(ClassArchive.unused(commandLine, libraries)).isEqualTo("target/a.jsa")
        val other = "$libraries ffff6000-ffff7000 rw-p 00000000 08:01 43    $path.old\n"
        expectThat(ClassArchive.unused(commandLine, other)).isEqualTo("target/a.jsa")
    }

    @Test
    fun `an archive that is mapped is in use`() {
        val mapped = "$libraries ffff6000-ffff7000 rw-p 00000000 08:01 43    $path\n"
        expectThat(ClassArchive.unused(commandLine, mapped)).isNull()
    }

    @Test
    fun `nothing is told of a process that was started without an archive`() {
        expectThat(ClassArchive.unused(listOf("java", "-jar", "target/a.jar"), libraries)).isNull()
    }
}
