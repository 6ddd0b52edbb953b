package sycamorehill.load;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import sycamorehill.model.identity.Address;

/**
 * Starts calls at planned times, whether earlier ones have ended or not: an open loop, so
 * that a slow system can't slow its own load down and hide its waiting times.
 */
public final class LoadRunner {

	private static final double AGAIN_SHARE = 0.3;

	private static final int PROMPT_STEMS = 20;

	private static final double NANOS_PER_SECOND = 1e9;

	private final LoadPlan plan;

	private final CallerClient client;

	private final InstantSource clock;

	private final SplittableRandom random;

	private final LoadRecorder recorder = LoadRecorder.create();

	private final Phaser open = new Phaser(1);

	private LoadRunner(LoadPlan plan, CallerClient client, InstantSource clock) {
		this.plan = plan;
		this.client = client;
		this.clock = clock;
		this.random = new SplittableRandom(plan.seed());
	}

	/**
	 * Creates a runner.
	 * @param plan what load
	 * @param client makes the calls
	 * @param clock monotonic time
	 * @return the runner
	 */
	public static LoadRunner create(LoadPlan plan, CallerClient client, InstantSource clock) {
		return new LoadRunner(plan, client, clock);
	}

	/**
	 * Runs the load to its end.
	 * @param runsByKey asks the targets how often each order ran, after the last call
	 * @return the report
	 * @throws InterruptedException if the thread is interrupted
	 */
	public LoadReport run(Supplier<Map<String, Long>> runsByKey) throws InterruptedException {
		Instant start = this.clock.instant();
		Instant nextChat = start.plus(gap(this.plan.chatsPerSecond()));
		Instant nextOrder = start.plus(gap(this.plan.ordersPerSecond()));
		Instant end = start.plus(this.plan.duration());
		int number = 0;
		while (nextChat.isBefore(end) || nextOrder.isBefore(end)) {
			boolean chat = nextChat.isBefore(nextOrder);
			Instant planned = chat ? nextChat : nextOrder;
			waitUntil(planned);
			number++;
			if (chat) {
				chat(number, planned);
				nextChat = planned.plus(gap(this.plan.chatsPerSecond()));
			}
			else {
				order(number);
				nextOrder = planned.plus(gap(this.plan.ordersPerSecond()));
			}
		}
		awaitOpen();
		this.recorder.checkRuns(runsByKey.get());
		return this.recorder.report();
	}

	private void chat(int number, Instant planned) {
		String content = "stem " + this.random.nextInt(PROMPT_STEMS) + " ".repeat(300) + " question " + number + " of "
				+ this.plan.seed();
		int tokens = 1 + this.random.nextInt(this.plan.tokens());
		ChatCall call = new ChatCall(pick(this.plan.keys()), this.plan.chatService(), content, tokens, "normal",
				this.plan.timeout());
		track(this.client.chat(pick(this.plan.nodes()), call, planned)
			.thenAccept((result) -> this.recorder.chat(call, result)));
	}

	private void order(int number) {
		String key = "order-" + this.plan.seed() + "-" + number;
		String workspace = pick(this.plan.keys());
		Address first = pick(this.plan.nodes());
		Address second = pick(this.plan.nodes());
		boolean again = this.random.nextDouble() < AGAIN_SHARE;
		CompletableFuture<Void> done = send(first, workspace, key, false)
			.thenCompose((result) -> again ? send(second, workspace, key, true).thenApply((repeated) -> null)
					: CompletableFuture.completedFuture(null));
		track(done);
	}

	private CompletableFuture<CallResult> send(Address node, String workspace, String key, boolean again) {
		String body = "{\"item\": \"" + key + "\"}";
		return this.client
			.order(node, workspace, this.plan.orderService() + "/orders", Optional.of(key), body, this.plan.timeout())
			.thenApply((result) -> {
				this.recorder.order(key, result, again);
				return result;
			});
	}

	private void track(CompletableFuture<Void> call) {
		this.open.register();
		call.whenComplete((done, failure) -> this.open.arriveAndDeregister());
	}

	private void awaitOpen() throws InterruptedException {
		int phase = this.open.arrive();
		try {
			this.open.awaitAdvanceInterruptibly(phase, this.plan.timeout().toMillis() * 3, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			throw new IllegalStateException(this.open.getUnarrivedParties() + " calls got no answer at all", ex);
		}
	}

	private Duration gap(double perSecond) {
		if (perSecond <= 0) {
			return this.plan.duration().multipliedBy(2);
		}
		double seconds = -Math.log(1 - this.random.nextDouble()) / perSecond;
		return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
	}

	private void waitUntil(Instant planned) throws InterruptedException {
		long nanos = Duration.between(this.clock.instant(), planned).toNanos();
		if (nanos > 0) {
			TimeUnit.NANOSECONDS.sleep(nanos);
		}
	}

	private <T> T pick(List<T> choices) {
		return choices.get(this.random.nextInt(choices.size()));
	}

}
