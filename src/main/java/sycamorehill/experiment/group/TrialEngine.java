package sycamorehill.experiment.group;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import sycamorehill.model.group.EngineCommand;
import sycamorehill.model.group.EngineCommandResult;
import sycamorehill.model.group.EngineState;
import sycamorehill.model.group.GroupIdentity;
import sycamorehill.model.group.VmEntry;
import sycamorehill.model.group.VmReport;
import sycamorehill.model.group.VmStatus;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.FabricDomain;
import sycamorehill.model.identity.VmName;

/**
 * A model of one engine on one VM.
 */
public final class TrialEngine {

	private static final int PORT = 9000;

	private final VmName name;

	private final DataCentreName dataCentre;

	private final FabricDomain domain;

	private EngineState state = EngineState.IDLE;

	private Optional<GroupIdentity> group = Optional.empty();

	private List<VmName> members = List.of();

	private List<VmName> membersBefore = List.of();

	private Duration loadLeft = Duration.ZERO;

	private Optional<GroupIdentity> readyIn = Optional.empty();

	private Instant readyAt = Instant.MIN;

	private Instant pausedUntil = Instant.MIN;

	private Instant troubledAt = Instant.MIN;

	private boolean down;

	private boolean restarted;

	private boolean refuses;

	private boolean leaving;

	private boolean ignoresFencing;

	private boolean failsLoads;

	private long highestFence;

	private int life = 1;

	private long sequence;

	private int running;

	private int loads;

	TrialEngine(VmName name, DataCentreName dataCentre, FabricDomain domain) {
		this.name = name;
		this.dataCentre = dataCentre;
		this.domain = domain;
	}

	/**
	 * The VM's name.
	 * @return the name
	 */
	public VmName name() {
		return this.name;
	}

	DataCentreName dataCentre() {
		return this.dataCentre;
	}

	/**
	 * The VM's fabric domain.
	 * @return the domain
	 */
	public FabricDomain domain() {
		return this.domain;
	}

	/**
	 * What the engine is doing.
	 * @return the state
	 */
	public EngineState state() {
		return this.state;
	}

	/**
	 * The group that it has joined.
	 * @return the group
	 */
	public Optional<GroupIdentity> group() {
		return this.group;
	}

	List<VmName> members() {
		return this.members;
	}

	List<VmName> membersBefore() {
		return this.membersBefore;
	}

	/**
	 * How many loads it has begun.
	 * @return the count
	 */
	public int loads() {
		return this.loads;
	}

	/**
	 * Requests that it runs.
	 * @return the count
	 */
	public int running() {
		return this.running;
	}

	boolean isDown() {
		return this.down;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	boolean answers(Instant now) {
		return !this.down && !now.isBefore(this.pausedUntil);
	}

	boolean refusesConnections() {
		return this.down && this.refuses;
	}

	boolean isReadyIn(GroupIdentity identity, Instant now) {
		return answers(now) && this.state == EngineState.READY && this.group.equals(Optional.of(identity));
	}

	boolean wasTroubled(Instant since) {
		return !this.troubledAt.isBefore(since);
	}

	/**
	 * Whether the engine was ready in a group at some time since a bound.
	 * @param identity the group and generation
	 * @param since the bound
	 * @return whether it was
	 */
	boolean wasReadyIn(GroupIdentity identity, Instant since) {
		return this.readyIn.equals(Optional.of(identity)) && !this.readyAt.isBefore(since);
	}

	void advance(Instant now, Duration step, double rate) {
		if (!answers(now) || this.leaving || this.restarted) {
			this.troubledAt = now;
			this.restarted = false;
		}
		if (this.state == EngineState.LOADING && answers(now)) {
			this.loadLeft = this.loadLeft.minusNanos((long) (step.toNanos() * rate));
			if (this.loadLeft.compareTo(Duration.ZERO) <= 0) {
				this.state = this.failsLoads ? EngineState.FAILED : EngineState.READY;
			}
		}
		if (answers(now) && this.state == EngineState.READY) {
			this.readyIn = this.group;
			this.readyAt = now;
		}
	}

	EngineCommandResult order(EngineCommand order, Duration load) {
		if (order.fencingNumber() < this.highestFence && !this.ignoresFencing) {
			return EngineCommandResult.REFUSED_FENCED;
		}
		this.highestFence = Math.max(this.highestFence, order.fencingNumber());
		if (order instanceof EngineCommand.Leave leave) {
			if (this.group.equals(Optional.of(leave.group()))) {
				become(EngineState.IDLE, Optional.empty(), List.of());
			}
			return EngineCommandResult.ACCEPTED;
		}
		EngineCommand.Join join = (EngineCommand.Join) order;
		if (!this.group.equals(Optional.of(join.group())) || this.state == EngineState.FAILED) {
			become(EngineState.LOADING, Optional.of(join.group()), join.members());
			this.loadLeft = load;
			this.loads++;
		}
		return EngineCommandResult.ACCEPTED;
	}

	private void become(EngineState changed, Optional<GroupIdentity> changedGroup, List<VmName> changedMembers) {
		this.membersBefore = this.members;
		this.state = changed;
		this.group = changedGroup;
		this.members = changedMembers;
		this.running = 0;
	}

	void failGroup(GroupIdentity identity) {
		if (this.state == EngineState.READY && this.group.equals(Optional.of(identity))) {
			this.state = EngineState.FAILED;
			this.running = 0;
		}
	}

	/**
	 * Ends the VM.
	 * @param refusesConnections whether its address refuses connections from now on,
	 * rather than saying nothing
	 */
	public void die(boolean refusesConnections) {
		this.down = true;
		this.refuses = refusesConnections;
		become(EngineState.IDLE, Optional.empty(), List.of());
	}

	/**
	 * Starts the VM again, as a new instance in no group.
	 */
	public void restart() {
		this.down = false;
		this.restarted = true;
		this.leaving = false;
		this.life++;
		this.sequence = 0;
		this.highestFence = 0;
	}

	/**
	 * Pauses the VM.
	 * @param until when it goes on as if nothing had happened
	 */
	public void pause(Instant until) {
		this.pausedUntil = until;
	}

	/**
	 * Says that the VM will go.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Makes the engine ignore old fencing numbers.
	 */
	public void ignoreFencing() {
		this.ignoresFencing = true;
	}

	/**
	 * Makes loads fail or work again.
	 * @param fails whether they fail
	 */
	public void failLoads(boolean fails) {
		this.failsLoads = fails;
	}

	void streams(int change) {
		this.running = Math.max(0, this.running + change);
	}

	VmReport report() {
		this.sequence++;
		return new VmReport(this.name, instance(), this.state, this.group, this.leaving, this.running, 0, 0, 0,
				this.sequence);
	}

	VmEntry entry() {
		return new VmEntry(this.name, this.dataCentre, this.domain, Address.of("10.0.0.1", PORT),
				this.leaving ? VmStatus.LEAVING : VmStatus.LIVE, instance());
	}

	private String instance() {
		return this.name + "-" + this.life;
	}

}
