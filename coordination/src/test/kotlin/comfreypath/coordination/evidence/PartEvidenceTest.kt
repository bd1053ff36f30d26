package comfreypath.coordination.evidence

import comfreypath.coordination.model.InstanceName
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.any
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.single
import java.time.Duration
import java.time.Instant
import java.util.Random

class PartEvidenceTest {
    private val options = PartEvidenceOptions()
    private val evidence = PartEvidence(options)
    private val start = Instant.ofEpochMilli(1_000_000)
    private val self = InstanceName("a")
    private val peer = InstanceName("b")
    private val alone = TrialCandidates(self, emptyList())

    private fun after(seconds: Double) = start.plusMillis((seconds * 1_000).toLong())

    private fun PartEvidenceState.with(event: PartEvidenceEvent, seconds: Double) =
        evidence.step(this, event, after(seconds)).state

    private fun PartEvidenceState.crash(endpoint: Int, seconds: Double, vararg parts: Long) = with(
        PartEvidenceEvent.EndpointCrashed(Crash(endpoint, after(seconds), seenHere = true), parts.toSet()),
        seconds + 0.1,
    )

    private fun admit(state: PartEvidenceState, seconds: Double, parts: List<Long>, repeat: Boolean = false) =
        PartAdmissionPolicy(state, alone, after(seconds), options).admit(parts, repeat)

    private val quarantined = PartEvidenceState()
        .crash(1, 0.0, 7, 8)
        .with(PartEvidenceEvent.AnswerBegan(listOf(8)), 0.5)
        .crash(2, 1.0, 7, 9)
        .crash(3, 2.0, 7)
        .with(PartEvidenceEvent.Tick, 3.0)

    @Test
    fun `a part is quarantined after three crashes without a response in between`() {
        expectThat(quarantined.parts[7]?.quarantine).isNotNull()
        expectThat(admit(quarantined, 3.0, listOf(8, 7))).isA<PartAdmission.Refused>().get { part }.isEqualTo(7)
        expectThat(admit(quarantined, 3.0, listOf(8, 9))).isEqualTo(PartAdmission.Admitted)
    }

    @Test
    fun `crashes at one moment are one cause`() {
        val state = (1..6).fold(PartEvidenceState()) { state, endpoint -> state.crash(endpoint, 0.01 * endpoint, 7) }
        expectThat(state.with(PartEvidenceEvent.Tick, 3.0).quarantined).isEqualTo(0)
    }

    @Test
    fun `a crash that several routers report counts once`() {
        val report = PartReport(7, listOf(ReportedCrash(1, Duration.ofMillis(900))))
        val state = (1..5).fold(PartEvidenceState().crash(1, 0.0, 7)) { state, _ ->
            state.with(PartEvidenceEvent.ReportsReceived(peer, listOf(report)), 1.0)
        }
        expectThat(state.parts[7]?.crashes).isNotNull().hasSize(1)
    }

    @Test
    fun `a response that a peer reports clears a part of earlier crashes only`() {
        val state = PartEvidenceState().crash(1, 0.0, 7).crash(2, 2.0, 7)
        val report = PartReport(7, answeredAge = Duration.ofSeconds(2))
        val next = state.with(PartEvidenceEvent.ReportsReceived(peer, listOf(report)), 3.0)
        expectThat(next.parts[7]?.crashes).isNotNull().get { map { it.endpointKey } }.isEqualTo(listOf(2))
    }

    @Test
    fun `a peer that counts crashes before a response of this router is told of it`() {
        val answered = PartEvidenceState().with(PartEvidenceEvent.AnswerBegan(listOf(7)), 1.0)
        val report = PartReport(7, listOf(ReportedCrash(1, Duration.ofSeconds(2))))
        val state = answered.with(PartEvidenceEvent.ReportsReceived(peer, listOf(report)), 2.0)
        expectThat(state.parts[7]?.crashes).isNotNull().isEmpty()
        expectThat(evidence.reports(state, after(2.0))).single().get { answeredAge }.isEqualTo(Duration.ofSeconds(1))
    }

    @Test
    fun `a quarantine is adopted from a peer and outweighed by a later response`() {
        val reports = evidence.reports(quarantined, after(3.0))
        val received = PartEvidenceEvent.ReportsReceived(peer, reports)
        expectThat(PartEvidenceState().with(received, 3.0).parts[7]?.quarantine).isNotNull()
        val answered = PartEvidenceState().with(PartEvidenceEvent.AnswerBegan(listOf(7)), 2.5)
        expectThat(answered.with(received, 3.0).parts[7]?.quarantine).isNull()
    }

    @Test
    fun `a response seen elsewhere is not passed on, so that it does not grow younger`() {
        val report = PartReport(7, listOf(ReportedCrash(1, Duration.ZERO)), answeredAge = Duration.ofSeconds(1))
        val state = PartEvidenceState().crash(2, 0.0, 7)
            .with(PartEvidenceEvent.ReportsReceived(peer, listOf(report)), 2.0)
        expectThat(evidence.reports(state, after(2.1))).all { get { answeredAge }.isNull() }
    }

    @Test
    fun `requests with a part at two crashes are sent but not repeated`() {
        val state = PartEvidenceState().crash(1, 0.0, 7).crash(2, 1.0, 7)
        expectThat(admit(state, 1.2, listOf(7))).isEqualTo(PartAdmission.Admitted)
        expectThat(admit(state, 1.2, listOf(7), repeat = true)).isA<PartAdmission.Refused>()
    }

    @Test
    fun `one trial is due after the quarantine, without other suspects`() {
        val due = 3.0 + options.firstTrial.seconds
        expectThat(admit(quarantined, due - 0.1, listOf(7))).isA<PartAdmission.Refused>()
        expectThat(admit(quarantined, due, listOf(9, 7))).isA<PartAdmission.Refused>()
        expectThat(admit(quarantined, due, listOf(7))).isEqualTo(PartAdmission.Trial(7))
        val started = quarantined.with(PartEvidenceEvent.TrialStarted(7), due)
        expectThat(admit(started, due + 0.1, listOf(7))).isA<PartAdmission.Refused>()
        val failed = started.with(PartEvidenceEvent.TrialEnded(7, sent = true), due + 0.2)
        expectThat(failed.parts[7]?.quarantine).isNotNull().and {
            get { failures }.isEqualTo(1)
            get { Duration.between(after(due + 0.2), until) }.isEqualTo(options.secondTrial)
        }
        val proven = started.with(PartEvidenceEvent.AnswerBegan(listOf(7)), due + 0.2)
        expectThat(proven.quarantined).isEqualTo(0)
        expectThat(admit(proven, due + 0.3, listOf(7))).isEqualTo(PartAdmission.Admitted)
    }

    @Test
    fun `exactly one router makes the trial`() {
        val names = (1..8).map { InstanceName("router-$it") }
        val owners = names.filter { name ->
            val candidates = TrialCandidates(name, names - name)
            PartAdmissionPolicy(quarantined, candidates, after(10.0), options).admit(listOf(7), repeat = false) is
            PartAdmission.Trial
        }
        expectThat(owners).hasSize(1)
    }

    @Test
    fun `trials become rarer`() {
        val times = (0..5).map { options.timeUntilTrial(it) }
        expectThat(times.zipWithNext()).all { get { first <= second }.isEqualTo(true) }
        expectThat(times.last()).isEqualTo(options.maxTrial)
    }

    @Test
    fun `crashes are forgotten after a time`() {
        val state = PartEvidenceState().crash(1, 0.0, 7).crash(2, 1.0, 7)
        val later = options.crashTtl.seconds + 2.0
        expectThat(state.crash(3, later, 7, 8).parts[7]?.crashes).isNotNull().hasSize(1)
    }

    @Test
    fun `memory and reports are bounded whatever the parts`() {
        val random = Random(1)
        var state = quarantined
        repeat(5_000) { number ->
            val parts = List(4) { random.nextLong() }
            state = state.crash(number, 3.0 + number * 0.01, *parts.toLongArray())
                .with(PartEvidenceEvent.AnswerBegan(List(4) { random.nextLong() }), 3.0 + number * 0.01)
        }
        expectThat(state.parts.size).isLessThanOrEqualTo(options.maxParts)
        expectThat(state.answers.current.size + state.answers.previous.size)
            .isLessThanOrEqualTo(2 * options.answersGeneration)
        val reports = evidence.reports(state, after(60.0))
        expectThat(reports.size).isLessThanOrEqualTo(options.maxReports)
        expectThat(reports.sumOf { Json.encodeToString(it).length }).isLessThanOrEqualTo(options.maxReportBytes)
        expectThat(reports).any { get { part }.isEqualTo(7) }
        expectThat(state.parts.keys).contains(7)
    }
}
