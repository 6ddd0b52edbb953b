package sycamorehill.experiment.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import sycamorehill.logic.NodeView;
import sycamorehill.logic.Step;
import sycamorehill.logic.group.GroupReducer;
import sycamorehill.logic.group.GroupState;
import sycamorehill.logic.group.ServingGroups;
import sycamorehill.logic.observation.ObservationReducer;
import sycamorehill.logic.observation.ObservationState;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.group.Allocation;
import sycamorehill.model.group.Fleet;
import sycamorehill.model.group.VmObservation;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.ServiceName;
import sycamorehill.model.identity.VmName;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.policy.Policy;
import sycamorehill.model.request.Fingerprint;
import sycamorehill.model.request.RouteQuery;
import sycamorehill.model.target.ServingTarget;
import sycamorehill.model.ticket.DesiredState;

/**
 * The parts of a node that see VMs and control groups, as one value in a trial.
 */
public final class TrialNode implements NodeView {

	private static final ObservationReducer OBSERVATION = ObservationReducer.create();

	private static final GroupReducer GROUP = GroupReducer.create();

	private final NodeIdentity self;

	private final Duration clockOffset;

	private final Deque<Runnable> held = new ArrayDeque<>();

	private final Set<VmName> cutFrom = new HashSet<>();

	private Policy policy;

	private DesiredState truth = DesiredState.empty();

	private LiveNodes liveNodes = LiveNodes.empty();

	private ObservationState observation = ObservationState.initial();

	private GroupState group = GroupState.initial();

	private Instant pausedUntil = Instant.MIN;

	private boolean cutFromPlatform;

	private boolean cutFromPeers;

	private boolean stopped;

	TrialNode(NodeIdentity self, Policy policy, Duration clockOffset) {
		this.self = self;
		this.policy = policy;
		this.clockOffset = clockOffset;
	}

	/**
	 * Another node with the same state.
	 * @return the copy
	 */
	TrialNode copy() {
		TrialNode copy = new TrialNode(this.self, this.policy, this.clockOffset);
		copy.truth = this.truth;
		copy.liveNodes = this.liveNodes;
		copy.observation = this.observation;
		copy.group = this.group;
		return copy;
	}

	Instant clock(Instant trialTime) {
		return trialTime.plus(this.clockOffset);
	}

	Instant trialTime(Instant clock) {
		return clock.minus(this.clockOffset);
	}

	/**
	 * Pauses the node.
	 * @param until when it goes on, with everything that has come meanwhile
	 */
	public void pause(Instant until) {
		this.pausedUntil = until;
	}

	/**
	 * Cuts the node off from the platform or ends the cut.
	 * @param isCut whether it is cut off
	 */
	public void cutFromPlatform(boolean isCut) {
		this.cutFromPlatform = isCut;
	}

	/**
	 * Cuts the node off from the other nodes or ends the cut.
	 * @param isCut whether it is cut off
	 */
	public void cutFromPeers(boolean isCut) {
		this.cutFromPeers = isCut;
	}

	/**
	 * Cuts the link between the node and a VM or mends it.
	 * @param vm the VM
	 * @param isCut whether it is cut
	 */
	public void cutFrom(VmName vm, boolean isCut) {
		if (isCut) {
			this.cutFrom.add(vm);
		}
		else {
			this.cutFrom.remove(vm);
		}
	}

	boolean reachesPlatform() {
		return !this.cutFromPlatform;
	}

	boolean reachesPeers() {
		return !this.cutFromPeers && !this.stopped;
	}

	boolean reaches(VmName vm) {
		return !this.cutFrom.contains(vm);
	}

	void stop() {
		this.stopped = true;
	}

	boolean runs(Instant now) {
		return !this.stopped && !now.isBefore(this.pausedUntil);
	}

	Instant pausedUntil() {
		return this.pausedUntil;
	}

	boolean isStopped() {
		return this.stopped;
	}

	Deque<Runnable> held() {
		return this.held;
	}

	void truth(DesiredState changed) {
		this.truth = changed;
	}

	void liveNodes(LiveNodes changed) {
		this.liveNodes = changed;
	}

	List<Effect> take(Instant trialTime, Event event) {
		List<Effect> outside = new ArrayList<>();
		Deque<Event> events = new ArrayDeque<>();
		events.add(event);
		Instant now = clock(trialTime);
		while (!events.isEmpty()) {
			Event next = events.poll();
			Step<ObservationState> first = OBSERVATION.reduce(this.observation, now, next, this);
			this.observation = first.state();
			sort(first.effects(), outside, events);
			Step<GroupState> second = GROUP.reduce(this.group, now, next, this);
			this.group = second.state();
			sort(second.effects(), outside, events);
		}
		return outside;
	}

	private static void sort(List<Effect> effects, List<Effect> outside, Deque<Event> events) {
		for (Effect effect : effects) {
			if (effect instanceof NodeEffect.Raise raise) {
				events.add(raise.event());
			}
			else {
				outside.add(effect);
			}
		}
	}

	/**
	 * The groups that the node may give work to.
	 * @param service their service
	 * @param trialTime the time of the trial
	 * @return the groups of all data centres
	 */
	public List<ServingTarget> targets(ServiceName service, Instant trialTime) {
		return ServingGroups.of(this.group, this, service, clock(trialTime));
	}

	/**
	 * Whether the node holds the controller's lease by its own clock.
	 * @param trialTime the time of the trial
	 * @return whether it does
	 */
	public boolean controls(Instant trialTime) {
		return this.group.lease().isHeld(clock(trialTime));
	}

	@Override
	public NodeIdentity self() {
		return this.self;
	}

	@Override
	public Policy policy() {
		return this.policy;
	}

	@Override
	public Optional<DesiredState> desiredState() {
		return Optional.of(this.truth);
	}

	@Override
	public LiveNodes liveNodes() {
		return this.liveNodes;
	}

	@Override
	public List<ServingTarget> servingTargets(ServiceName service) {
		return List.of();
	}

	@Override
	public Optional<ServingTarget> chooseTarget(RouteQuery query) {
		return Optional.empty();
	}

	@Override
	public boolean isQuarantined(Fingerprint fingerprint) {
		return false;
	}

	@Override
	public Optional<VmObservation> observation(VmName vm) {
		return fleet().observation(vm);
	}

	@Override
	public Optional<Allocation> allocation() {
		return this.group.allocation().known();
	}

	@Override
	public Fleet fleet() {
		return this.observation.fleet();
	}

}
