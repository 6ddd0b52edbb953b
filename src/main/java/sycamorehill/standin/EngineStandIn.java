package sycamorehill.standin;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;

import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.VmStatus;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.GroupName;
import sycamorehill.model.identity.GroupSetName;
import sycamorehill.model.identity.VmName;

/**
 * One engine on one VM. A join replaces whatever group the engine was in; a group that
 * loses a member fails on all its members, as a replica does.
 */
public final class EngineStandIn implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final Duration ACCEPTS_WHILE_LEAVING = Duration.ofSeconds(5);

	private static final double STRAGGLING = 8;

	private final VmName vm;

	private final EngineTiming timing;

	private final EngineFleet fleet;

	private final ScheduledExecutorService clock;

	private final EngineBatch batch;

	private final StandInServer server;

	private volatile Membership membership = Membership.idle();

	private volatile String report = "";

	private volatile boolean leaving;

	private CompletableFuture<Void> awake = CompletableFuture.completedFuture(null);

	private boolean crashed;

	private boolean ignoresFencing;

	private long highestFence;

	private volatile long leavingSince;

	private int life;

	private long sequence;

	private long generatedBefore;

	private EngineStandIn(VmName vm, StandInSettings settings, EngineFleet fleet, ScheduledExecutorService clock) {
		this.vm = vm;
		this.timing = settings.timing();
		this.fleet = fleet;
		this.clock = clock;
		this.batch = EngineBatch.create(this.timing, clock, new Random(settings.seed() ^ vm.hashCode()), this::crash);
		takeReport();
		this.server = StandInServer.open(settings.host(), 0, this::handle);
		clock.scheduleAtFixedRate(this::takeReport, this.timing.reportLag().toMillis(),
				this.timing.reportLag().toMillis(), TimeUnit.MILLISECONDS);
	}

	static EngineStandIn start(VmName vm, StandInSettings settings, EngineFleet fleet, ScheduledExecutorService clock) {
		return new EngineStandIn(vm, settings, fleet, clock);
	}

	/**
	 * The VM that the engine runs on.
	 * @return its name
	 */
	public VmName vm() {
		return this.vm;
	}

	/**
	 * Where the engine listens.
	 * @return the address
	 */
	public Address address() {
		return this.server.address();
	}

	/**
	 * What the VM list says, in time.
	 * @return live or leaving
	 */
	public VmStatus status() {
		return this.leaving ? VmStatus.LEAVING : VmStatus.LIVE;
	}

	/**
	 * The life of the engine's process.
	 * @return changes with each restart
	 */
	public synchronized String instance() {
		return this.vm + "-" + this.life;
	}

	/**
	 * Whether the engine is ready in a group.
	 * @param group the group and generation
	 * @return whether it is
	 */
	public boolean readyIn(GroupIdentity group) {
		Membership now = this.membership;
		return now.state == EngineState.READY && now.isIn(group);
	}

	@Override
	public void close() {
		this.server.close();
	}

	boolean fault(FaultOrder order) {
		switch (order.fault()) {
			case "crash" -> crash();
			case "restart" -> restart();
			case "pause" -> pause();
			case "straggle" -> this.batch.slowness(STRAGGLING);
			case "leave" -> leave();
			case "ignore-fencing" -> ignoreFencing();
			case FaultOrder.CLEAR -> clear();
			default -> {
				return false;
			}
		}
		return true;
	}

	/**
	 * A member of the group is gone: the replica can't go on.
	 * @param group the group and generation
	 */
	synchronized void failGroup(GroupIdentity group) {
		if (this.membership.worksIn(group)) {
			this.membership = this.membership.in(EngineState.FAILED);
			this.batch.breakAll("a member of the group is gone");
		}
	}

	private void crash() {
		Membership before;
		synchronized (this) {
			if (this.crashed) {
				return;
			}
			this.crashed = true;
			before = this.membership;
			this.membership = Membership.idle();
			this.highestFence = 0;
			this.server.close();
			this.batch.breakAll("the engine crashed");
		}
		tellMembers(before);
	}

	private void tellMembers(Membership before) {
		before.group.ifPresent((group) -> this.clock.execute(() -> this.fleet.memberLost(group, before.members)));
	}

	private void restart() {
		crash();
		synchronized (this) {
			this.life++;
			this.sequence = 0;
			this.crashed = false;
			this.leaving = false;
		}
		clear();
		takeReport();
		this.server.reopen();
	}

	private synchronized void pause() {
		this.awake = new CompletableFuture<>();
		this.batch.paused(true);
	}

	private synchronized void leave() {
		this.leaving = true;
		this.leavingSince = System.nanoTime();
		long since = this.leavingSince;
		this.clock.schedule(() -> goAway(since), this.timing.leavingNotice().toMillis(), TimeUnit.MILLISECONDS);
	}

	private void goAway(long since) {
		if (this.leaving && this.leavingSince == since) {
			crash();
		}
	}

	private synchronized void ignoreFencing() {
		this.ignoresFencing = true;
	}

	private void clear() {
		CompletableFuture<Void> sleepers;
		synchronized (this) {
			this.ignoresFencing = false;
			sleepers = this.awake;
			this.batch.slowness(1);
			this.batch.paused(false);
		}
		sleepers.complete(null);
	}

	private synchronized void takeReport() {
		this.sequence++;
		long generated = this.batch.generated();
		double perSecond = (generated - this.generatedBefore) * 1000.0 / this.timing.reportLag().toMillis();
		this.generatedBefore = generated;
		Membership now = this.membership;
		ObjectNode node = JSON.createObjectNode();
		node.put("vm", this.vm.value()).put("instance", instance()).put("state", now.state.name());
		node.set("group", now.group.<JsonNode>map(EngineStandIn::groupJson).orElse(JSON.nullNode()));
		node.put("leaving", this.leaving);
		node.put("running", this.batch.running()).put("queued", this.batch.waiting());
		node.put("tokensPerSecond", perSecond).put("freeCacheTokens", this.batch.freeCacheTokens());
		node.put("sequence", this.sequence);
		this.report = node.toString();
	}

	private static ObjectNode groupJson(GroupIdentity group) {
		return JSON.createObjectNode()
			.put("set", group.name().set().value())
			.put("ordinal", group.name().ordinal())
			.put("generation", group.generation());
	}

	private CompletionStage<Reply> handle(HttpRequest request) {
		CompletableFuture<Void> ready;
		synchronized (this) {
			ready = this.awake;
		}
		return ready.thenApply((nothing) -> reply(request));
	}

	private Reply reply(HttpRequest request) {
		String body = request.payloadBody().toString(StandardCharsets.UTF_8);
		try {
			return switch (request.path()) {
				case "/engine/report" -> Reply.json(200, this.report);
				case "/engine/orders" -> order(JSON.readTree(body));
				case "/engine/completions" -> complete(request, body);
				case "/engine/cache-events" -> cacheEvents(request);
				default -> cancel(request);
			};
		}
		catch (JsonProcessingException ex) {
			return Reply.notRun(400, "malformed");
		}
	}

	private Reply order(JsonNode order) {
		JsonNode named = order.path("group");
		GroupIdentity group = GroupIdentity.of(
				GroupName.of(GroupSetName.of(named.path("set").asText()), named.path("ordinal").asInt()),
				named.path("generation").asLong());
		boolean joins = order.path("type").asText().equals("join");
		Membership before;
		synchronized (this) {
			long fence = order.path("fencingNumber").asLong();
			if (fence < this.highestFence && !this.ignoresFencing) {
				return Reply.json(409, "{\"reason\": \"fenced\"}");
			}
			this.highestFence = Math.max(this.highestFence, fence);
			before = this.membership;
			if (joins ? before.worksIn(group) : !before.isIn(group)) {
				return Reply.empty(202);
			}
			this.batch.breakAll("the engine changes its group");
			this.membership = joins ? load(group, order.path("members")) : Membership.idle();
		}
		if (!joins || !before.isIn(group)) {
			tellMembers(before);
		}
		return Reply.empty(202);
	}

	private Membership load(GroupIdentity group, JsonNode members) {
		List<VmName> names = new ArrayList<>();
		members.forEach((member) -> names.add(VmName.of(member.asText())));
		Membership loading = new Membership(EngineState.LOADING, Optional.of(group), List.copyOf(names));
		Duration time = this.fleet.weightStore().begin(this.timing.load());
		this.clock.schedule(() -> loaded(loading), time.toMillis(), TimeUnit.MILLISECONDS);
		return loading;
	}

	private synchronized void loaded(Membership loading) {
		this.fleet.weightStore().end();
		if (this.membership == loading) {
			this.membership = loading.in(EngineState.READY);
		}
	}

	private Reply complete(HttpRequest request, String body) throws JsonProcessingException {
		EngineBatch.Completion completion = JSON.readValue(body, EngineBatch.Completion.class);
		Membership now = this.membership;
		long generation = Long.parseLong(String.valueOf(request.headers().get("Group-Generation", "0")));
		if (now.group.isEmpty() || now.group.get().generation() != generation || !now.members.get(0).equals(this.vm)) {
			return Reply.notRun(409, "not the head of this generation");
		}
		if (now.state != EngineState.READY || !this.fleet.whole(now.group.get(), now.members)) {
			return Reply.notRun(503, "not ready");
		}
		if (this.leaving && System.nanoTime() - this.leavingSince > ACCEPTS_WHILE_LEAVING.toNanos()) {
			return Reply.notRun(503, "leaving").with("Leaving", "true");
		}
		String attempt = String.valueOf(request.headers().get("Sycamorehill-Attempt", ""));
		return Reply.eventStream(this.batch.start(attempt, completion));
	}

	private Reply cacheEvents(HttpRequest request) throws JsonProcessingException {
		String after = request.queryParameter("after");
		long sequenceAfter = (after != null) ? Long.parseLong(after) : 0;
		return Reply.json(200, "{\"events\": " + JSON.writeValueAsString(this.batch.cacheEvents(sequenceAfter)) + "}");
	}

	private Reply cancel(HttpRequest request) {
		String prefix = "/engine/completions/";
		if (request.method().equals(HttpRequestMethod.DELETE) && request.path().startsWith(prefix)) {
			this.batch.cancel(request.path().substring(prefix.length()));
			return Reply.empty(204);
		}
		return Reply.empty(404);
	}

	private record Membership(EngineState state, Optional<GroupIdentity> group, List<VmName> members) {

		private static Membership idle() {
			return new Membership(EngineState.IDLE, Optional.empty(), List.of());
		}

		private boolean isIn(GroupIdentity other) {
			return this.group.equals(Optional.of(other));
		}

		private boolean worksIn(GroupIdentity other) {
			return isIn(other) && this.state != EngineState.FAILED;
		}

		private Membership in(EngineState changed) {
			return new Membership(changed, this.group, this.members);
		}

	}

}
