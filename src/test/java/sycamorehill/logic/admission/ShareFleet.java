package sycamorehill.logic.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.pcollections.PMap;
import org.pcollections.TreePMap;

import sycamorehill.logic.Step;
import sycamorehill.model.effect.Effect;
import sycamorehill.model.effect.NodeEffect;
import sycamorehill.model.effect.PeerEffect;
import sycamorehill.model.event.Event;
import sycamorehill.model.event.NodeEvent;
import sycamorehill.model.event.PeerEvent;
import sycamorehill.model.event.RequestEvent;
import sycamorehill.model.identity.Address;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeIdentity;
import sycamorehill.model.identity.NodeIncarnation;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.membership.LiveNode;
import sycamorehill.model.membership.LiveNodes;
import sycamorehill.model.peer.PeerMessage;
import sycamorehill.model.peer.ShareAmounts;
import sycamorehill.model.request.RequestOutcome;
import sycamorehill.model.ticket.PlainTarget;
import sycamorehill.model.ticket.ServiceItem;
import sycamorehill.model.ticket.WorkspaceItem;
import sycamorehill.support.EventSchedule;

/**
 * Several nodes' admission over a network that loses, delays and doubles messages, each
 * node with a clock of its own.
 */
final class ShareFleet {

	static final WorkspaceItem WORKSPACE = Requests.workspace("w", 60, 60, 1);

	private static final Duration TICK = Duration.ofMillis(100);

	private final AdmissionReducer reducer = AdmissionReducer.create();

	private final EventSchedule<Runnable> schedule = EventSchedule.create();

	private final List<Member> members = new ArrayList<>();

	private final Random random;

	private double loss;

	private double doubled;

	private int longestDelay = 10;

	private int cutOff = -1;

	private long requests;

	private ShareFleet(int dataCentres, int perDataCentre, long seed) {
		this.random = new Random(seed);
		for (int number = 0; number < dataCentres * perDataCentre; number++) {
			this.members.add(new Member(number, number / perDataCentre));
		}
		this.members.forEach(this::start);
	}

	static ShareFleet create(int dataCentres, int perDataCentre, long seed) {
		return new ShareFleet(dataCentres, perDataCentre, seed);
	}

	void faults(double lossShare, double doubledShare, int longestDelayMilliseconds) {
		this.loss = lossShare;
		this.doubled = doubledShare;
		this.longestDelay = longestDelayMilliseconds;
	}

	void cutOff(int dataCentre) {
		this.cutOff = dataCentre;
	}

	void kill(int number) {
		Member member = this.members.get(number);
		member.alive = false;
		member.life++;
	}

	void restart(int number) {
		kill(number);
		start(this.members.get(number));
	}

	void request(int number) {
		Member member = this.members.get(number);
		if (member.alive) {
			Instant now = member.clock();
			feed(member, new RequestEvent.Arrived(Requests.chat(++this.requests, "w", now)));
		}
	}

	void run(Duration time) {
		Instant end = this.schedule.now().plus(time);
		boolean[] over = { false };
		this.schedule.add(time, () -> over[0] = true);
		while (!over[0]) {
			this.schedule.next().orElseThrow().run();
		}
		if (this.schedule.now().isBefore(end)) {
			throw new IllegalStateException("the schedule stood still");
		}
	}

	ShareAmounts usable(int number) {
		Member member = this.members.get(number);
		LimitState.Entry entry = member.state.limits().workspaces().get(WORKSPACE.name());
		return (member.alive && entry != null) ? entry.account().usableAt(member.clock()) : ShareAmounts.NONE;
	}

	/**
	 * What all nodes may use now, with what an idle node owns.
	 */
	ShareAmounts usableByAll() {
		ShareAmounts sum = ShareAmounts.NONE;
		for (Member member : this.members) {
			sum = sum.plus(usable(member.number));
		}
		return sum;
	}

	int messages() {
		return this.members.stream().mapToInt((member) -> member.sent).sum();
	}

	private void start(Member member) {
		member.alive = true;
		member.state = AdmissionState.initial();
		member.view = FakeView.of(member.identity()).with(Requests.CHAT_SERVICE, WORKSPACE, deskEverywhere());
		int life = member.life;
		feed(member, new NodeEvent.Started(life));
		this.schedule.add(Duration.ofMillis(this.random.nextInt(100)), () -> tick(member, life));
	}

	private ServiceItem deskEverywhere() {
		List<PlainTarget> targets = this.members.stream()
			.map((member) -> new PlainTarget(TargetName.of("t" + member.dataCentre),
					DataCentreName.of("dc" + member.dataCentre), Address.of("127.0.0.1", 1)))
			.toList();
		return ServiceItem.plain(Requests.DESK, targets, List.of());
	}

	private void tick(Member member, int life) {
		if (member.alive && member.life == life) {
			member.view = FakeView.of(member.identity())
				.with(Requests.CHAT_SERVICE, WORKSPACE, deskEverywhere())
				.liveNodes(seenBy(member));
			feed(member, new NodeEvent.Ticked(Instant.EPOCH));
			this.schedule.add(TICK, () -> tick(member, life));
		}
	}

	private LiveNodes seenBy(Member viewer) {
		PMap<NodeName, LiveNode> seen = TreePMap.empty();
		for (Member member : this.members) {
			if (member.alive && !severed(viewer, member)) {
				NodeIdentity identity = member.identity();
				seen = seen.plus(identity.incarnation().node(), new LiveNode(identity, false, Instant.EPOCH));
			}
		}
		return new LiveNodes(seen);
	}

	private boolean severed(Member one, Member other) {
		return (one.dataCentre == this.cutOff) != (other.dataCentre == this.cutOff);
	}

	private void feed(Member member, Event event) {
		Step<AdmissionState> step = this.reducer.reduce(member.state, member.clock(), event, member.view);
		member.state = step.state();
		for (Effect effect : step.effects()) {
			if (effect instanceof PeerEffect.Send send) {
				send(member, send);
			}
			else if (effect instanceof NodeEffect.Raise raise
					&& raise.event() instanceof RequestEvent.Admitted admitted) {
				member.admitted++;
				Duration answer = Duration.ofMillis(200);
				int life = member.life;
				this.schedule.add(answer, () -> finish(member, life, admitted));
			}
		}
	}

	private void finish(Member member, int life, RequestEvent.Admitted admitted) {
		if (member.alive && member.life == life) {
			feed(member, new RequestEvent.Finished(admitted.request(), admitted.handling(),
					new RequestOutcome.Completed(), 10, Optional.empty()));
		}
	}

	private void send(Member from, PeerEffect.Send send) {
		from.sent++;
		NodeIdentity sender = from.identity();
		int copies = (this.random.nextDouble() < this.doubled) ? 2 : 1;
		for (int copy = 0; copy < copies; copy++) {
			if (this.random.nextDouble() >= this.loss) {
				Duration delay = Duration.ofMillis(1 + this.random.nextInt(this.longestDelay));
				this.schedule.add(delay, () -> deliver(from, sender, send.to(), send.message()));
			}
		}
	}

	private void deliver(Member from, NodeIdentity sender, NodeIdentity to, PeerMessage message) {
		// A late message may reach a later life of the same node under the same address.
		for (Member member : this.members) {
			if (member.alive && member.name().equals(to.incarnation().node()) && !severed(from, member)) {
				feed(member, new PeerEvent.MessageReceived(sender, message));
			}
		}
	}

	int admitted(int number) {
		return this.members.get(number).admitted;
	}

	/**
	 * One node: its clock starts anywhere and runs up to 0.4 in 100 too fast or too slow.
	 */
	private final class Member {

		private final int number;

		private final int dataCentre;

		private final long offset = ShareFleet.this.random.nextInt(1_000_000);

		private final double speed = 0.996 + ShareFleet.this.random.nextDouble() * 0.008;

		private AdmissionState state = AdmissionState.initial();

		private FakeView view;

		private boolean alive;

		private int life;

		private int sent;

		private int admitted;

		private Member(int number, int dataCentre) {
			this.number = number;
			this.dataCentre = dataCentre;
		}

		private NodeName name() {
			return NodeName.of("n" + this.number);
		}

		private NodeIdentity identity() {
			return new NodeIdentity(NodeIncarnation.of(name(), this.life), DataCentreName.of("dc" + this.dataCentre),
					Address.of("127.0.0.1", 1 + this.number));
		}

		private Instant clock() {
			Duration passed = Duration.between(Instant.EPOCH, ShareFleet.this.schedule.now());
			return Instant.ofEpochMilli(this.offset).plusNanos((long) (passed.toNanos() * this.speed));
		}

	}

}
