package sycamorehill.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.target.ServingTarget;

/**
 * A queue model of one engine with continuous batching: a request's times are fixed when
 * it begins, by how many run then and by how much of its prompt is cached.
 */
final class EngineModel {

	static final double FIRST_TOKEN = 0.1;

	static final double PREFILL_PER_TOKEN = 0.0003;

	static final double TOKEN_GAP = 0.02;

	static final double SLOWDOWN = 0.05;

	static final int MOST_RUNNING = 16;

	private static final int CACHED_PREFIXES = 150;

	private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

	private static final Duration REPORT_TRANSIT = Duration.ofMillis(100);

	private final VirtualTime time;

	private final ServingTarget target;

	private final double slowness;

	private final Deque<Work> waiting = new ArrayDeque<>();

	private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);

	private int running;

	private long reports;

	private long blocks;

	private long hits;

	private Optional<VmObservation> sight = Optional.empty();

	private EngineModel(VirtualTime time, int number, DataCentreName dataCentre, ServiceName service, double slowness) {
		this.time = time;
		this.slowness = slowness;
		GroupName group = GroupName.of(GroupSetName.of("set-" + dataCentre), number);
		VmName vm = VmName.of("vm-" + number);
		this.target = new ServingTarget(group.targetName(), service, dataCentre, Address.of("127.0.0.1", 1),
				Optional.of(GroupIdentity.of(group, 1)), List.of(vm));
		report();
	}

	static EngineModel create(VirtualTime time, int number, DataCentreName dataCentre, ServiceName service,
			double slowness) {
		return new EngineModel(time, number, dataCentre, service, slowness);
	}

	ServingTarget target() {
		return this.target;
	}

	Optional<VmObservation> sight() {
		return this.sight;
	}

	long blocks() {
		return this.blocks;
	}

	long hits() {
		return this.hits;
	}

	void submit(Work work) {
		if (this.running < MOST_RUNNING) {
			begin(work);
		}
		else {
			this.waiting.add(work);
		}
	}

	private void begin(Work work) {
		this.running++;
		int cached = 0;
		while (cached < work.prefixes().size() && this.cache.containsKey(work.prefixes().get(cached))) {
			cached++;
		}
		this.blocks += work.prefixes().size();
		this.hits += cached;
		work.prefixes().forEach((prefix) -> this.cache.put(prefix, true));
		while (this.cache.size() > CACHED_PREFIXES) {
			this.cache.remove(this.cache.keySet().iterator().next());
		}
		double uncached = work.prefixes().isEmpty() ? 1 : 1 - (double) cached / work.prefixes().size();
		double slowed = this.slowness * (1 + SLOWDOWN * this.running);
		double first = (FIRST_TOKEN + PREFILL_PER_TOKEN * work.promptTokens() * uncached) * slowed;
		double gap = TOKEN_GAP * slowed;
		this.time.after(first, work.firstToken());
		this.time.after(first + gap * work.tokens(), () -> end(work));
	}

	private void end(Work work) {
		this.running--;
		work.end().run();
		if (!this.waiting.isEmpty()) {
			begin(this.waiting.poll());
		}
	}

	private void report() {
		VmReport report = new VmReport(this.target.members().get(0), "life", EngineState.READY, this.target.group(),
				false, this.running, this.waiting.size(), 0, 0, ++this.reports);
		Instant seenAt = this.time.now();
		this.time.after(REPORT_TRANSIT, () -> this.sight = Optional.of(new VmObservation(report, seenAt)));
		this.time.after(REPORT_INTERVAL, this::report);
	}

	/**
	 * One request at an engine.
	 *
	 * @param promptTokens tokens of the prompt
	 * @param tokens tokens to generate
	 * @param prefixes hashes of the prompt's blocks
	 * @param firstToken what happens at the first token
	 * @param end what happens at the end
	 */
	record Work(int promptTokens, int tokens, List<Long> prefixes, Runnable firstToken, Runnable end) {
	}

}
