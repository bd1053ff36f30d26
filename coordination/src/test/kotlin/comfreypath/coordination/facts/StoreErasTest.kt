package comfreypath.coordination.facts

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNull

class StoreErasTest {
    @Test
    fun `a version of a later era is later, whatever its revision`() {
        val before = checkNotNull(StoreVersion.of(era = 1, revision = StoreVersion.MAX_REVISION))
        val after = checkNotNull(StoreVersion.of(era = 2, revision = 3))
        expectThat(before).isLessThan(after)
        expectThat(after.era to after.revision).isEqualTo(2L to 3L)
    }

    @Test
    fun `without eras a version is the revision, of any size`() {
        expectThat(StoreVersion.of(era = 0, revision = Long.MAX_VALUE)?.number).isEqualTo(Long.MAX_VALUE)
        expectThat(StoreVersion.of(era = 1, revision = StoreVersion.MAX_REVISION + 1)).isNull()
        expectThat(StoreVersion.of(era = StoreVersion.MAX_ERA + 1, revision = 1)).isNull()
    }

    @Test
    fun `an answer of an earlier era than one known from the store or a peer is not believed`() {
        val (first, _) = StoreEras().answered(3)
        val (second, changed) = first.answered(4)
        expectThat(changed).isEqualTo(StoreEras.Verdict.CHANGED)
        expectThat(second.answered(3).second).isEqualTo(StoreEras.Verdict.EARLIER)
        expectThat(second.heard(5).answered(4).second).isEqualTo(StoreEras.Verdict.EARLIER)
        expectThat(second.heard(5).answered(5).second).isEqualTo(StoreEras.Verdict.CURRENT)
        expectThat(second.answered(0).first).isEqualTo(second.copy(late = 1))
    }
}
