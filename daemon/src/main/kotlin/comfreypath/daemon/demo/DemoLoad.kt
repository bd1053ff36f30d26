package comfreypath.daemon.demo

import comfreypath.openai.ChatCompletionRequest
import comfreypath.openai.ChatMessage
import comfreypath.standins.Booking
import comfreypath.standins.EngineResponse
import comfreypath.transport.Address
import comfreypath.transport.dispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import java.time.Duration

private const val LARGE_TEAMS = 3
private const val WORDS_PER_MESSAGE = 60
private const val MAX_PAUSE_MILLISECONDS = 3_000
private const val OUTPUT_TOKENS = 24
private const val RETRY_DELAY_MILLISECONDS = 200L
private const val MAX_TRIES = 40
private const val REPEATED_BOOKING_INTERVAL = 4

/**
 * The load of the demo: chats with pauses between their turns, and bookings, some of which are sent again with the same
 * key.
 *
 * @property usableRouters returns the addresses of the routers that callers can use now
 */
internal class DemoLoad(
    private val fleet: LocalFleet,
    private val teams: Int,
    seed: Long,
    private val usableRouters: () -> List<Address>,
) {
    private val random: UniformRandomProvider = RandomSource.SPLIT_MIX_64.create(seed)
    private val caller = Caller(fleet.callerLoop)

    /** The outcomes so far. */
    var tally = CallerTally()
        private set

    /** Starts [chats] chats and as many bookings at random times within [duration], and waits until all have ended. */
    suspend fun run(chats: Int, duration: Duration) = withContext(fleet.callerLoop.dispatcher()) {
        repeat(chats) { number ->
            val startMilliseconds = random.nextInt(duration.toMillis().toInt()).toLong()
            val remainingMilliseconds = duration.toMillis() - startMilliseconds
            launch {
                delay(startMilliseconds)
                chat(number, remainingMilliseconds)
            }
            launch {
                delay(startMilliseconds)
                booking(number)
            }
        }
    }

    /** Each of the first [LARGE_TEAMS] teams is `1 + LARGE_TEAMS` times as likely as any other. */
    private fun randomTeam(): Int {
        val draw = random.nextInt(teams + LARGE_TEAMS * LARGE_TEAMS)
        return if (draw >= teams) (draw - teams) % LARGE_TEAMS else draw
    }

    private suspend fun chat(number: Int, durationMilliseconds: Long) {
        val key = fleet.layout.apiKey(randomTeam())
        val end = System.nanoTime() + Duration.ofMillis(durationMilliseconds).toNanos()
        var messages = listOf(ChatMessage("user", randomWords("chat $number opens")))
        var earlierTokens = 0
        do {
            val request = ChatCompletionRequest(
                model = fleet.layout.model,
                messages = messages,
                stream = true,
                maxTokens = OUTPUT_TOKENS,
                promptCacheKey = "chat-$number",
            )
            val response = chatWithRetries(key, request) ?: return
            tally = tally.withReuse(response, earlierTokens)
            earlierTokens = EngineResponse.promptTokens(request) + OUTPUT_TOKENS
            val question = randomWords("chat $number goes on")
            messages = messages + ChatMessage("assistant", response.text) + ChatMessage("user", question)
            delay(random.nextInt(MAX_PAUSE_MILLISECONDS).toLong())
        } while (System.nanoTime() < end)
    }

    private fun randomWords(prefix: String): String =
        prefix + " " + (0 until WORDS_PER_MESSAGE).joinToString(" ") { random.nextInt().toString(Character.MAX_RADIX) }

    /** Retries until there is a response, as a caller does whose request was refused; null after [MAX_TRIES] tries. */
    private suspend fun chatWithRetries(key: String, request: ChatCompletionRequest): CallerOutcome.Answered? {
        repeat(MAX_TRIES) {
            val outcome = sendCounted { address -> caller.chat(address, key, request) }
            if (outcome is CallerOutcome.Answered) {
                tally = tally.withChecked(outcome.text == EngineResponse.text(request))
                return outcome
            }
            delay(RETRY_DELAY_MILLISECONDS)
        }
        return null
    }

    private suspend fun sendCounted(call: suspend (Address) -> CallerOutcome): CallerOutcome {
        val routers = usableRouters()
        val outcome = call(routers[random.nextInt(routers.size)])
        tally = tally.withOutcome(outcome)
        return outcome
    }

    private suspend fun booking(number: Int) {
        val key = fleet.layout.apiKey(randomTeam())
        val booking = Booking("receipt-$number", "slot-$number")
        repeat(MAX_TRIES) {
            val outcome =
                sendCounted { address -> caller.book(address, key, fleet.layout.bookingPath, booking, "once-$number") }
            if (outcome is CallerOutcome.Answered) {
                tally = tally.withChecked(outcome.text == booking.receipt)
                repeatIfSelected(key, booking, number)
                return
            }
            delay(RETRY_DELAY_MILLISECONDS)
        }
    }

    private suspend fun repeatIfSelected(key: String, booking: Booking, number: Int) {
        if (number % REPEATED_BOOKING_INTERVAL == 0) {
            val outcome =
                sendCounted { address -> caller.book(address, key, fleet.layout.bookingPath, booking, "once-$number") }
            if (outcome is CallerOutcome.Answered) {
                tally = tally.withChecked(outcome.text == booking.receipt)
            }
        }
    }
}
