package comfreypath.daemon

import comfreypath.daemon.command.DemoCommand
import comfreypath.daemon.command.MeasureCommand
import comfreypath.daemon.command.RouterCommand
import comfreypath.daemon.command.StandInCommand
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class CommandHelpTest {
    @Test
    fun `the help option of every command succeeds`() {
        val help = listOf("--help")
        expectThat(DemoCommand().run(help)).isEqualTo(0)
        expectThat(MeasureCommand().run(help)).isEqualTo(0)
        expectThat(RouterCommand().run(help, emptyMap())).isEqualTo(0)
        expectThat(StandInCommand().run(help)).isEqualTo(0)
    }

    @Test
    fun `an unknown measurement is a usage error`() {
        expectThat(MeasureCommand().run(listOf("nonsense"))).isEqualTo(EXIT_USAGE)
    }
}
