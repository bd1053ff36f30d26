package comfreypath.daemon.demo

import comfreypath.openai.ChatCompletionRequest
import comfreypath.openai.ChatMessage
import comfreypath.standins.Booking
import comfreypath.standins.EngineAnswer
import comfreypath.transport.Address
import comfreypath.transport.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.time.Duration

private const val LARGE_TEAM_CHANCES = 3
private const val WORDS_PER_MESSAGE = 60
private const val LONGEST_PAUSE_MILLISECONDS = 3_000
private const val TOKENS = 24
private const val RETRY_MILLISECONDS = 200L
private const val TRIES = 40
private const val BOOKING_REPEAT_ONE_IN = 4

/**
 * Callers of the demo: chats that return after pauses, and bookings whose keys are sometimes sent twice.
 *
 * @property balancer gives the routers that callers may use now
 */
internal class DemoLoad(
    private val fleet: LocalFleet,
    private val teams: Int,
    seed: Long,
    private val balancer: () -> List<Address>,
) {
    private val random: UniformRandomProvider = RandomSource.SPLIT_MIX_64.create(seed)
    private val caller = Caller(fleet.callerLoop)

    /** The counts so far. */
    var tally = CallerTally()
        private set

    /** Runs [chats] chats and as many bookings over [duration], and waits for all of them. */
    suspend fun run(chats: Int, duration: Duration) = withContext(fleet.callerLoop.dispatcher()) {
        repeat(chats) { number ->
            val startsAfter = random.nextInt(duration.toMillis().toInt()).toLong()
            val endsAfter = duration.toMillis() - startsAfter
            launch {
                delay(startsAfter)
                chat(number, endsAfter)
            }
            launch {
                delay(startsAfter)
                booking(number)
            }
        }
    }

    private fun team(): Int {
        val large = random.nextInt(teams + LARGE_TEAM_CHANCES * LARGE_TEAM_CHANCES)
        return if (large >= teams) (large - teams) % LARGE_TEAM_CHANCES else large
    }

    private suspend fun chat(number: Int, lasts: Long) {
        val key = fleet.layout.apiKey(team())
        val end = System.nanoTime() + Duration.ofMillis(lasts).toNanos()
        var messages = listOf(ChatMessage("user", words("chat $number opens")))
        var earlierTokens = 0
        do {
            val request = ChatCompletionRequest(
                model = fleet.layout.model,
                messages = messages,
                stream = true,
                maximumTokens = TOKENS,
                promptCacheKey = "chat-$number",
            )
            val answer = ask(key, request) ?: return
            tally = tally.withReuse(answer, earlierTokens)
            earlierTokens = EngineAnswer.promptTokens(request) + TOKENS
            val question = words("chat $number goes on")
            messages = messages + ChatMessage("assistant", answer.text) + ChatMessage("user", question)
            delay(random.nextInt(LONGEST_PAUSE_MILLISECONDS).toLong())
        } while (System.nanoTime() < end)
    }

    private fun words(start: String): String =
        start + " " + (0 until WORDS_PER_MESSAGE).joinToString(" ") { random.nextInt().toString(Character.MAX_RADIX) }

    /** Asks until answered, as a caller does that is told that its request did not run. */
    private suspend fun ask(key: String, request: ChatCompletionRequest): CallerOutcome.Answered? {
        repeat(TRIES) {
            val outcome = counted { address -> caller.chat(address, key, request) }
            if (outcome is CallerOutcome.Answered) {
                tally = tally.withChecked(outcome.text == EngineAnswer.text(request))
                return outcome
            }
            delay(RETRY_MILLISECONDS)
        }
        return null
    }

    private suspend fun counted(call: suspend (Address) -> CallerOutcome): CallerOutcome {
        val routers = balancer()
        val outcome = call(routers[random.nextInt(routers.size)])
        tally = tally.withOutcome(outcome)
        return outcome
    }

    private suspend fun booking(number: Int) {
        val key = fleet.layout.apiKey(team())
        val booking = Booking("receipt-$number", "slot-$number")
        repeat(TRIES) {
            val outcome =
                counted { address -> caller.book(address, key, fleet.layout.bookingPath, booking, "once-$number") }
            if (outcome is CallerOutcome.Answered) {
                tally = tally.withChecked(outcome.text == booking.receipt)
                repeatSometimes(key, booking, number)
                return
            }
            delay(RETRY_MILLISECONDS)
        }
    }

    private suspend fun repeatSometimes(key: String, booking: Booking, number: Int) {
        if (number % BOOKING_REPEAT_ONE_IN == 0) {
            val outcome =
                counted { address -> caller.book(address, key, fleet.layout.bookingPath, booking, "once-$number") }
            if (outcome is CallerOutcome.Answered) {
                tally = tally.withChecked(outcome.text == booking.receipt)
            }
        }
    }
}
