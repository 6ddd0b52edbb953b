package sycamorehill.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.api.ReadOnlyBufferAllocators;
import io.servicetalk.concurrent.PublisherSource;
import io.servicetalk.concurrent.api.Processors;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.SourceAdapters;

import sycamorehill.engine.PromptPrefixes;
import sycamorehill.model.request.Priority;

/**
 * Continuous batching of one engine: all running requests advance together, each one
 * slowing the others, and further ones wait by priority.
 */
final class EngineBatch {

	private static final String POISON = "POISON";

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final Duration PAUSE_CHECK = Duration.ofMillis(20);

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final List<Run> waiting = new ArrayList<>();

	private final EngineTiming timing;

	private final ScheduledExecutorService clock;

	private final PrefixCache cache;

	private final Runnable crash;

	private double slowness = 1;

	private boolean paused;

	private long generated;

	private EngineBatch(EngineTiming timing, ScheduledExecutorService clock, RandomGenerator random, Runnable crash) {
		this.timing = timing;
		this.clock = clock;
		this.cache = PrefixCache.create(timing.cachedPrefixes(), random);
		this.crash = crash;
	}

	static EngineBatch create(EngineTiming timing, ScheduledExecutorService clock, RandomGenerator random,
			Runnable crash) {
		return new EngineBatch(timing, clock, random, crash);
	}

	synchronized Publisher<Buffer> start(String attempt, Completion completion) {
		Run run = new Run(attempt, completion);
		if (this.running.size() < this.timing.mostRunning()) {
			begin(run);
		}
		else {
			this.waiting.add(run);
			this.waiting.sort(Comparator.comparing((waiting) -> waiting.completion.priority()));
		}
		return SourceAdapters.fromSource(run.output).beforeCancel(() -> cancel(attempt));
	}

	synchronized void cancel(String attempt) {
		this.waiting.removeIf((run) -> run.attempt.equals(attempt));
		if (this.running.remove(attempt) != null) {
			beginWaiting();
		}
	}

	synchronized void breakAll(String reason) {
		List<Run> broken = new ArrayList<>(this.running.values());
		broken.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		this.cache.clear();
		broken.forEach((run) -> run.output.onError(new IllegalStateException(reason)));
	}

	synchronized void slowness(double factor) {
		this.slowness = factor;
	}

	synchronized void paused(boolean isPaused) {
		this.paused = isPaused;
	}

	synchronized int running() {
		return this.running.size();
	}

	synchronized int waiting() {
		return this.waiting.size();
	}

	synchronized long generated() {
		return this.generated;
	}

	synchronized long freeCacheTokens() {
		return (long) this.cache.free() * PromptPrefixes.BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN;
	}

	synchronized List<PrefixCache.CacheEvent> cacheEvents(long after) {
		return this.cache.after(after, System.nanoTime());
	}

	private void begin(Run run) {
		this.running.put(run.attempt, run);
		List<Long> prefixes = PromptPrefixes.hashes(run.completion.prompt());
		int hits = this.cache.use(prefixes, System.nanoTime());
		int uncached = Math.max(0, run.completion.prompt().length() - hits * PromptPrefixes.BLOCK_CHARACTERS);
		Duration prefill = this.timing.prefillPerToken().multipliedBy(uncached / CHARACTERS_PER_TOKEN);
		schedule(run, slowed(this.timing.firstToken().plus(prefill)));
	}

	private void beginWaiting() {
		while (!this.waiting.isEmpty() && this.running.size() < this.timing.mostRunning()) {
			begin(this.waiting.remove(0));
		}
	}

	private void schedule(Run run, Duration delay) {
		this.clock.schedule(() -> advance(run), delay.toNanos(), TimeUnit.NANOSECONDS);
	}

	private Duration slowed(Duration time) {
		double factor = this.slowness * (1 + this.timing.slowdownPerRunning() * (this.running.size() - 1));
		return Duration.ofNanos((long) (time.toNanos() * factor));
	}

	private void advance(Run run) {
		if (run.completion.prompt().contains(POISON)) {
			this.crash.run();
			return;
		}
		synchronized (this) {
			if (this.running.get(run.attempt) != run) {
				return;
			}
			if (this.paused) {
				schedule(run, PAUSE_CHECK);
				return;
			}
			emitNext(run);
		}
	}

	private void emitNext(Run run) {
		if (run.index < run.completion.maximumTokens()) {
			run.emit("{\"index\": " + run.index + ", \"token\": \""
					+ TokenText.token(run.completion.prompt(), run.index) + "\"}");
			run.index++;
			this.generated++;
		}
		if (run.index < run.completion.maximumTokens()) {
			schedule(run, slowed(this.timing.tokenGap()));
			return;
		}
		run.emit("{\"end\": true, \"tokens\": " + run.index + "}");
		run.output.onComplete();
		this.running.remove(run.attempt);
		beginWaiting();
	}

	/**
	 * What is asked of an engine.
	 *
	 * @param prompt the prompt
	 * @param maximumTokens tokens to generate
	 * @param resumeFrom index of the first token to send
	 * @param priority urgency
	 */
	record Completion(String prompt, int maximumTokens, int resumeFrom, Priority priority) {

		Completion {
			prompt = (prompt != null) ? prompt : "";
			priority = (priority != null) ? priority : Priority.NORMAL;
		}

	}

	/**
	 * One attempt that runs or waits. The buffer holds a whole answer, so that a slow
	 * reader holds nobody else up.
	 */
	private static final class Run {

		private static final int SPARE_EVENTS = 8;

		private final String attempt;

		private final Completion completion;

		private final PublisherSource.Processor<Buffer, Buffer> output;

		private int index;

		private Run(String attempt, Completion completion) {
			this.attempt = attempt;
			this.completion = completion;
			this.index = completion.resumeFrom();
			this.output = Processors.newPublisherProcessor(completion.maximumTokens() + SPARE_EVENTS);
		}

		private void emit(String data) {
			this.output.onNext(ReadOnlyBufferAllocators.DEFAULT_RO_ALLOCATOR.fromUtf8("data: " + data + "\n\n"));
		}

	}

}
