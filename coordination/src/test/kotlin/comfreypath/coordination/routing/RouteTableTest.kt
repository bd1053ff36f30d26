package comfreypath.coordination.routing

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class RouteTableTest {
    private fun route(name: String, host: String, prefix: String) =
        testRoute().copy(name = name, host = host, pathPrefix = prefix)

    private val table = RouteTable(
        listOf(
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("root", "b.example", "/"),
        ),
    )

    @Test
    fun `the longest prefix of the host wins`() {
        expectThat(table.find("a.example", "/x/y/z")?.name).isEqualTo("long")
        expectThat(table.find("a.example", "/x/yy")?.name).isEqualTo("short")
        expectThat(table.find("a.example", "/x/y")?.name).isEqualTo("short")
    }

    @Test
    fun `a prefix matches only with its trailing slash`() {
        expectThat(table.find("a.example", "/x")).isNull()
        expectThat(table.find("a.example", "/xy/z")).isNull()
    }

    @Test
    fun `routes are matched by host, ignoring case and port`() {
        expectThat(table.find("B.example:8080", "/anything")?.name).isEqualTo("root")
        expectThat(table.find("c.example", "/x/")).isNull()
    }

    @Test
    fun `a path without a slash has no route`() {
        expectThat(table.find("b.example", "*")).isNull()
        expectThat(table.find("b.example", "")).isNull()
    }
}
