package sycamorehill.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

import sycamorehill.standin.TokenText;

/**
 * Gathers results and checks each answer against what its own caller must get.
 */
final class LoadRecorder {

	private static final int DIGITS = 3;

	private static final int MOST_VIOLATIONS = 50;

	private final Map<CallOutcome, Long> chats = new EnumMap<>(CallOutcome.class);

	private final Map<CallOutcome, Long> orders = new EnumMap<>(CallOutcome.class);

	private final Map<CallOutcome, Long> repeated = new EnumMap<>(CallOutcome.class);

	private final Map<String, Long> refusals = new TreeMap<>();

	private final Map<String, OrderSeen> orderAnswers = new HashMap<>();

	private final Histogram firstToken = new Histogram(DIGITS);

	private final Histogram tokenGap = new Histogram(DIGITS);

	private final List<String> violations = new ArrayList<>();

	private long tokens;

	private LoadRecorder() {
	}

	static LoadRecorder create() {
		return new LoadRecorder();
	}

	synchronized void chat(ChatCall call, CallResult result) {
		count(this.chats, result);
		result.firstToken().ifPresent((time) -> this.firstToken.recordValue(micros(time)));
		result.gaps().forEach((gap) -> this.tokenGap.recordValue(micros(gap)));
		this.tokens += result.gaps().size() + (result.firstToken().isPresent() ? 1 : 0);
		String whole = TokenText.answer(call.prompt(), call.maximumTokens());
		if (result.outcome() == CallOutcome.COMPLETED && !result.text().equals(whole)) {
			violation("a completed answer is not the whole answer to its request: " + call.content());
		}
		else if (!whole.startsWith(result.text())) {
			violation("an answer has foreign, doubled or missing tokens: " + call.content());
		}
	}

	synchronized void order(String key, CallResult result, boolean again) {
		count(again ? this.repeated : this.orders, result);
		OrderSeen seen = this.orderAnswers.getOrDefault(key, OrderSeen.none());
		if (result.outcome() == CallOutcome.COMPLETED) {
			if (seen.answer().isPresent() && !seen.answer().get().equals(result.text())) {
				violation("order " + key + " got two different answers");
			}
			seen = new OrderSeen(Optional.of(result.text()), seen.mayHaveRun());
		}
		boolean notRun = result.outcome() == CallOutcome.NOT_RUN;
		this.orderAnswers.put(key, new OrderSeen(seen.answer(), seen.mayHaveRun() || !notRun));
	}

	/**
	 * Compares with what the targets really ran.
	 * @param runsByKey runs of each key, from the targets' own records; empty if they
	 * can't be asked
	 */
	synchronized void checkRuns(Map<String, Long> runsByKey) {
		if (runsByKey.isEmpty()) {
			return;
		}
		this.orderAnswers.forEach((key, seen) -> {
			long runs = runsByKey.getOrDefault(key, 0L);
			if (runs > 1) {
				violation("order " + key + " ran " + runs + " times");
			}
			if (runs == 0 && seen.answer().isPresent()) {
				violation("order " + key + " was answered but never ran");
			}
			if (runs > 0 && !seen.mayHaveRun()) {
				violation("order " + key + " ran although every answer said that it was not run");
			}
		});
	}

	synchronized LoadReport report() {
		return new LoadReport(Map.copyOf(this.chats), Map.copyOf(this.orders), Map.copyOf(this.repeated),
				new TreeMap<>(this.refusals), Latencies.of(this.firstToken), Latencies.of(this.tokenGap), this.tokens,
				List.copyOf(this.violations));
	}

	private void count(Map<CallOutcome, Long> counts, CallResult result) {
		counts.merge(result.outcome(), 1L, Long::sum);
		if (result.outcome() != CallOutcome.COMPLETED) {
			this.refusals.merge(result.detail(), 1L, Long::sum);
		}
	}

	private void violation(String text) {
		if (this.violations.size() < MOST_VIOLATIONS) {
			this.violations.add(text);
		}
	}

	private static long micros(Duration time) {
		return Math.max(0, time.toNanos() / 1000);
	}

	private record OrderSeen(Optional<String> answer, boolean mayHaveRun) {

		static OrderSeen none() {
			return new OrderSeen(Optional.empty(), false);
		}

	}

}
