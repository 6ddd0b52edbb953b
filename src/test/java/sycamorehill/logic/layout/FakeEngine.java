package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineCommandAnswer;
import sycamorehill.model.serving.EngineCommandRequest;
import sycamorehill.model.serving.EngineParameters;
import sycamorehill.model.serving.EngineReport;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.Membership;
import sycamorehill.model.serving.ModelParameters;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

/**
 * Simulates an engine that carries out commands as the real engines do.
 */
final class FakeEngine {

	private final String domain;

	private final TargetName name;

	private final EngineParameters parameters;

	private long startMillis = 1;

	private long acceptedCommands;

	private Set<String> staged = Set.of();

	private Optional<String> inMemory = Optional.empty();

	private Optional<ModelParameters> staging = Optional.empty();

	private Instant stagedAt = Instant.MAX;

	private Optional<Membership> membership = Optional.empty();

	private Optional<EngineCommandRequest.Join> join = Optional.empty();

	private Instant readyAt = Instant.MAX;

	private boolean running = true;

	private boolean partitioned;

	private String partitionName = "";

	private boolean leaving;

	/** Whether the process stands still. Its connections are accepted, and wait. */
	private boolean paused;

	FakeEngine(String name, String domain, EngineParameters parameters) {
		this.name = TargetName.of(name);
		this.domain = domain;
		this.parameters = parameters;
	}

	TargetName name() {
		return this.name;
	}

	boolean running() {
		return this.running;
	}

	boolean isReachable() {
		return this.running && !this.partitioned;
	}

	Optional<Membership> membership() {
		return this.membership;
	}

	Optional<EngineCommandRequest.Join> join() {
		return this.join;
	}

	boolean isOpen() {
		return this.running
				&& this.membership.filter((membership) -> membership.state() == MemberState.OPEN).isPresent();
	}

	/**
	 * Partitions the engine, alone or together with others, or ends the partition.
	 * @param partitioned whether the engine is partitioned
	 * @param partitionName the name of the partition; engines in the same partition reach
	 * each other
	 */
	void setPartition(boolean partitioned, String partitionName) {
		this.partitioned = partitioned;
		this.partitionName = partitioned ? partitionName : "";
	}

	void partitionFromAllButHead(boolean partitioned) {
		this.partitioned = partitioned;
	}

	boolean isInSamePartition(FakeEngine other) {
		return this.partitionName.equals(other.partitionName);
	}

	void setPaused(boolean paused) {
		this.paused = paused;
	}

	boolean isPaused() {
		return this.paused;
	}

	void breakGroup() {
		changeState(MemberState.BROKEN);
	}

	void leave() {
		this.leaving = true;
	}

	void stage(ModelParameters model) {
		this.staged = Set.of(model.name());
	}

	void crash() {
		this.running = false;
	}

	void restart() {
		this.running = true;
		this.startMillis++;
		this.acceptedCommands = 0;
		this.membership = Optional.empty();
		this.join = Optional.empty();
		this.leaving = false;
		this.readyAt = Instant.MAX;
		this.inMemory = Optional.empty();
		this.staging = Optional.empty();
		this.stagedAt = Instant.MAX;
	}

	void advance(Instant now) {
		if (this.running && !now.isBefore(this.stagedAt)) {
			this.stagedAt = Instant.MAX;
			this.staged = Set.of(this.staging.orElseThrow().name());
			this.staging = Optional.empty();
		}
		if (this.running && !now.isBefore(this.readyAt)) {
			this.readyAt = Instant.MAX;
			changeState(MemberState.READY);
			String model = this.join.orElseThrow().model();
			if (!this.inMemory.equals(Optional.of(model)) && !this.staged.contains(model)) {
				this.staged = Set.of(model);
			}
			this.inMemory = Optional.of(model);
		}
	}

	private void changeState(MemberState state) {
		this.membership = this.membership
			.map((membership) -> new Membership(membership.group(), membership.epoch(), membership.rank(), state));
	}

	EngineCommandAnswer execute(EngineCommandRequest command, long expectedCount, Instant now) {
		if (expectedCount != EntryEffect.SendCommand.ANY_COUNT && expectedCount != this.acceptedCommands) {
			return EngineCommandAnswer.CONFLICT;
		}
		EngineCommandAnswer answer = start(command, now);
		if (answer == EngineCommandAnswer.BEGUN) {
			this.acceptedCommands++;
		}
		return answer;
	}

	private EngineCommandAnswer start(EngineCommandRequest command, Instant now) {
		if (command instanceof EngineCommandRequest.Join joinCommand) {
			return startJoin(joinCommand, now);
		}
		if (command instanceof EngineCommandRequest.Open open) {
			return switchState(open.group(), open.epoch(), MemberState.READY, MemberState.OPEN);
		}
		if (command instanceof EngineCommandRequest.Close close) {
			return switchState(close.group(), close.epoch(), MemberState.OPEN, MemberState.READY);
		}
		if (command instanceof EngineCommandRequest.Leave leave) {
			if (!inGroup(leave.group(), leave.epoch())) {
				return EngineCommandAnswer.CONFLICT;
			}
			this.membership = Optional.empty();
			this.readyAt = Instant.MAX;
			this.acceptedCommands++;
			return EngineCommandAnswer.HOLDS_ALREADY;
		}
		return startStaging(((EngineCommandRequest.Stage) command).model(), now);
	}

	private EngineCommandAnswer startStaging(String name, Instant now) {
		if (this.staged.contains(name)) {
			return EngineCommandAnswer.HOLDS_ALREADY;
		}
		if (this.staging.isPresent()) {
			return EngineCommandAnswer.CONFLICT;
		}
		ModelParameters model = this.parameters.model(name).orElseThrow();
		this.staging = Optional.of(model);
		this.stagedAt = now.plus(model.coldLoadTime());
		return EngineCommandAnswer.BEGUN;
	}

	private EngineCommandAnswer startJoin(EngineCommandRequest.Join joinCommand, Instant now) {
		if (this.membership.filter((membership) -> joinCommand.epoch() < membership.epoch()).isPresent()) {
			return EngineCommandAnswer.OUTDATED;
		}
		if (inGroup(joinCommand.group(), joinCommand.epoch())) {
			return EngineCommandAnswer.HOLDS_ALREADY;
		}
		ModelParameters model = this.parameters.model(joinCommand.model()).orElseThrow();
		this.join = Optional.of(joinCommand);
		this.membership = Optional.of(new Membership(joinCommand.group(), joinCommand.epoch(),
				joinCommand.members().indexOf(this.name), MemberState.JOINING));
		this.readyAt = now.plus(joinTime(model));
		return EngineCommandAnswer.BEGUN;
	}

	private Duration joinTime(ModelParameters model) {
		if (this.inMemory.equals(Optional.of(model.name()))) {
			return Duration.ofMillis(200);
		}
		return this.staged.contains(model.name()) ? model.warmLoadTime() : model.coldLoadTime();
	}

	private EngineCommandAnswer switchState(String group, long epoch, MemberState from, MemberState to) {
		if (!inGroup(group, epoch) || this.membership.orElseThrow().state() != from) {
			return EngineCommandAnswer.CONFLICT;
		}
		changeState(to);
		return EngineCommandAnswer.BEGUN;
	}

	private boolean inGroup(String group, long epoch) {
		return this.membership.filter((membership) -> membership.group().equals(group) && membership.epoch() == epoch)
			.isPresent();
	}

	EngineReport report() {
		return new EngineReport(this.acceptedCommands, this.staged, this.membership);
	}

	TargetEntry entry() {
		TargetEntry sample = ServingSamples.engine(this.name.value(), this.domain);
		return new TargetEntry(this.name, sample.service(), sample.address(), sample.dataCentre(), sample.slots(),
				this.leaving, this.startMillis, sample.domain(), this.staged,
				this.membership.flatMap((membership) -> this.inMemory), this.membership);
	}

	List<TargetName> members() {
		return this.join.map(EngineCommandRequest.Join::members).orElse(List.of());
	}

}
