package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineOrderAnswer;
import sycamorehill.model.serving.EngineOrderCall;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

/**
 * An engine that carries out orders as the users' engines do.
 */
final class FakeEngine {

	private final String domain;

	private final TargetName name;

	private long born = 1;

	private long orders;

	private Set<String> staged = Set.of();

	private Optional<String> inMemory = Optional.empty();

	private Optional<ModelFigures> staging = Optional.empty();

	private Instant stagedAt = Instant.MAX;

	private Optional<Membership> membership = Optional.empty();

	private Optional<EngineOrderCall.Join> join = Optional.empty();

	private Instant readyAt = Instant.MAX;

	private boolean alive = true;

	private boolean cut;

	private String side = "";

	private boolean leaving;

	FakeEngine(String name, String domain) {
		this.name = TargetName.of(name);
		this.domain = domain;
	}

	TargetName name() {
		return this.name;
	}

	boolean alive() {
		return this.alive;
	}

	boolean reachable() {
		return this.alive && !this.cut;
	}

	Optional<Membership> membership() {
		return this.membership;
	}

	Optional<EngineOrderCall.Join> join() {
		return this.join;
	}

	boolean isOpen() {
		return this.alive && this.membership.filter((seat) -> seat.state() == MemberState.OPEN).isPresent();
	}

	/**
	 * Cuts the engine off, alone or with all others of its side.
	 * @param now whether it is cut off
	 * @param withOthers engines that are cut off together reach each other
	 */
	void cut(boolean now, String withOthers) {
		this.cut = now;
		this.side = now ? withOthers : "";
	}

	void cutFromAllButItsHead(boolean now) {
		this.cut = now;
	}

	boolean sameSide(FakeEngine other) {
		return this.side.equals(other.side);
	}

	void breakDown() {
		state(MemberState.BROKEN);
	}

	void leave() {
		this.leaving = true;
	}

	void die() {
		this.alive = false;
	}

	void restart() {
		this.alive = true;
		this.born++;
		this.orders = 0;
		this.membership = Optional.empty();
		this.join = Optional.empty();
		this.leaving = false;
		this.readyAt = Instant.MAX;
		this.inMemory = Optional.empty();
		this.staging = Optional.empty();
		this.stagedAt = Instant.MAX;
	}

	void advance(Instant now) {
		if (this.alive && !now.isBefore(this.stagedAt)) {
			this.stagedAt = Instant.MAX;
			this.staged = Set.of(this.staging.orElseThrow().name());
			this.staging = Optional.empty();
		}
		if (this.alive && !now.isBefore(this.readyAt)) {
			this.readyAt = Instant.MAX;
			state(MemberState.READY);
			String model = this.join.orElseThrow().model();
			if (!this.inMemory.equals(Optional.of(model)) && !this.staged.contains(model)) {
				this.staged = Set.of(model);
			}
			this.inMemory = Optional.of(model);
		}
	}

	private void state(MemberState state) {
		this.membership = this.membership.map((seat) -> new Membership(seat.group(), seat.epoch(), seat.rank(), state));
	}

	EngineOrderAnswer carryOut(EngineOrderCall order, long expected, Instant now) {
		if (expected != EntryEffect.SendOrder.ANY_COUNT && expected != this.orders) {
			return EngineOrderAnswer.CONFLICT;
		}
		EngineOrderAnswer answer = begin(order, now);
		if (answer == EngineOrderAnswer.BEGUN) {
			this.orders++;
		}
		return answer;
	}

	private EngineOrderAnswer begin(EngineOrderCall order, Instant now) {
		if (order instanceof EngineOrderCall.Join asked) {
			return joinBegins(asked, now);
		}
		if (order instanceof EngineOrderCall.Open open) {
			return seated(open.group(), open.epoch(), MemberState.READY, MemberState.OPEN);
		}
		if (order instanceof EngineOrderCall.Close close) {
			return seated(close.group(), close.epoch(), MemberState.OPEN, MemberState.READY);
		}
		if (order instanceof EngineOrderCall.Leave leave) {
			if (!inGroup(leave.group(), leave.epoch())) {
				return EngineOrderAnswer.CONFLICT;
			}
			this.membership = Optional.empty();
			this.readyAt = Instant.MAX;
			this.orders++;
			return EngineOrderAnswer.HOLDS_ALREADY;
		}
		return stagingBegins(((EngineOrderCall.Stage) order).model(), now);
	}

	private EngineOrderAnswer stagingBegins(String name, Instant now) {
		if (this.staged.contains(name)) {
			return EngineOrderAnswer.HOLDS_ALREADY;
		}
		if (this.staging.isPresent()) {
			return EngineOrderAnswer.CONFLICT;
		}
		ModelFigures model = ServingSamples.engineFigures().model(name).orElseThrow();
		this.staging = Optional.of(model);
		this.stagedAt = now.plus(model.coldLoad());
		return EngineOrderAnswer.BEGUN;
	}

	private EngineOrderAnswer joinBegins(EngineOrderCall.Join asked, Instant now) {
		if (this.membership.filter((seat) -> asked.epoch() < seat.epoch()).isPresent()) {
			return EngineOrderAnswer.OUTDATED;
		}
		if (inGroup(asked.group(), asked.epoch())) {
			return EngineOrderAnswer.HOLDS_ALREADY;
		}
		ModelFigures model = ServingSamples.engineFigures().model(asked.model()).orElseThrow();
		this.join = Optional.of(asked);
		this.membership = Optional
			.of(new Membership(asked.group(), asked.epoch(), asked.members().indexOf(this.name), MemberState.JOINING));
		this.readyAt = now.plus(timeToJoin(model));
		return EngineOrderAnswer.BEGUN;
	}

	private Duration timeToJoin(ModelFigures model) {
		if (this.inMemory.equals(Optional.of(model.name()))) {
			return Duration.ofMillis(200);
		}
		return this.staged.contains(model.name()) ? model.warmLoad() : model.coldLoad();
	}

	private EngineOrderAnswer seated(String group, long epoch, MemberState from, MemberState to) {
		if (!inGroup(group, epoch) || this.membership.orElseThrow().state() != from) {
			return EngineOrderAnswer.CONFLICT;
		}
		state(to);
		return EngineOrderAnswer.BEGUN;
	}

	private boolean inGroup(String group, long epoch) {
		return this.membership.filter((seat) -> seat.group().equals(group) && seat.epoch() == epoch).isPresent();
	}

	EngineReport report() {
		return new EngineReport(this.orders, this.staged, this.membership);
	}

	TargetEntry entry() {
		TargetEntry plain = ServingSamples.engine(this.name.value(), this.domain);
		return new TargetEntry(this.name, plain.service(), plain.address(), plain.dataCentre(), plain.slots(),
				this.leaving, this.born, plain.domain(), this.staged, this.membership.flatMap((seat) -> this.inMemory),
				this.membership);
	}

	List<TargetName> members() {
		return this.join.map(EngineOrderCall.Join::members).orElse(List.of());
	}

}
