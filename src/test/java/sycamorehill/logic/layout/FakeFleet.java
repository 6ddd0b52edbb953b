package sycamorehill.logic.layout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.EngineOrderAnswer;
import sycamorehill.model.serving.EngineOrderCall;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.Lease;
import sycamorehill.model.serving.LeaseAnswer;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

/**
 * Engines, a store and controllers in virtual time, with the promises about groups
 * checked at each step: a serving group is whole, and no member is taken from a serving
 * head.
 */
final class FakeFleet {

	private static final Duration STEP = Duration.ofMillis(100);

	/** Entries of engines that the store does not hear lapse after three heartbeats. */
	private static final Duration LAPSE = Duration.ofMillis(3600);

	private final Map<TargetName, FakeEngine> engines = new LinkedHashMap<>();

	private final Map<TargetName, Instant> heard = new HashMap<>();

	private static final Duration STALL = Duration.ofSeconds(5);

	private final Map<TargetName, Instant> stalledSince = new HashMap<>();

	private final List<Controller> controllers = new ArrayList<>();

	private final List<LateOrder> late = new ArrayList<>();

	private final Random random;

	private Instant now = Instant.ofEpochSecond(10_000);

	private Optional<Lease> lease = Optional.empty();

	private double lateShare;

	private int requests = 6;

	private int conflicts;

	FakeFleet(long seed, int domains, int enginesInDomain) {
		this.random = new Random(seed);
		for (int domain = 0; domain < domains; domain++) {
			for (int index = 0; index < enginesInDomain; index++) {
				FakeEngine engine = new FakeEngine("e" + domain + "-" + index, "d" + domain);
				this.engines.put(engine.name(), engine);
				this.heard.put(engine.name(), this.now);
			}
		}
	}

	Controller addController(String name) {
		Controller controller = new Controller(name);
		this.controllers.add(controller);
		return controller;
	}

	Controller controller(int index) {
		return this.controllers.get(index);
	}

	/**
	 * Counts the orders that an engine refused because they named another count.
	 * @return the number of orders
	 */
	int conflicts() {
		return this.conflicts;
	}

	void withoutRequests() {
		this.requests = 0;
	}

	void loseOrders(double share) {
		this.lateShare = share;
	}

	FakeEngine engine(String name) {
		return this.engines.get(TargetName.of(name));
	}

	List<FakeEngine> engines() {
		return List.copyOf(this.engines.values());
	}

	long serving() {
		return this.engines.values().stream().filter(FakeEngine::isOpen).filter(this::whole).count();
	}

	String describe() {
		StringBuilder text = new StringBuilder();
		this.engines.values()
			.forEach((engine) -> text.append(engine.name()).append(' ').append(engine.membership()).append('\n'));
		return text.toString();
	}

	void run(Duration time) {
		Instant end = this.now.plus(time);
		while (this.now.isBefore(end)) {
			this.now = this.now.plus(STEP);
			this.engines.values().forEach((engine) -> engine.advance(this.now));
			this.engines.values().stream().filter(FakeEngine::isOpen).forEach(this::breakIfStalled);
			carryOutLate();
			for (FakeEngine engine : this.engines.values()) {
				if (engine.reachable()) {
					this.heard.put(engine.name(), this.now);
				}
			}
			for (Controller controller : this.controllers) {
				if (controller.running) {
					controller.step();
				}
			}
		}
	}

	// A head that lost the path to a member stands still, and breaks after the stall
	// time.
	private void breakIfStalled(FakeEngine head) {
		boolean joined = whole(head)
				&& head.members().stream().map(this.engines::get).allMatch((member) -> member.sameSide(head));
		if (joined) {
			this.stalledSince.remove(head.name());
		}
		else if (!this.now.isBefore(this.stalledSince.computeIfAbsent(head.name(), (name) -> this.now).plus(STALL))) {
			this.stalledSince.remove(head.name());
			head.breakDown();
		}
	}

	private void carryOutLate() {
		for (LateOrder order : List.copyOf(this.late)) {
			if (!order.at().isAfter(this.now)) {
				this.late.remove(order);
				FakeEngine engine = this.engines.get(order.engine());
				if (engine.reachable()) {
					carryOut(engine, order.order(), order.expected());
				}
			}
		}
	}

	private boolean storeAwayForAll() {
		return this.controllers.stream().allMatch((controller) -> controller.storeCut);
	}

	private EngineOrderAnswer carryOut(FakeEngine engine, EngineOrderCall order, long expected) {
		Optional<FakeEngine> before = headOf(engine);
		Optional<EngineOrderCall.Join> seat = engine.join();
		EngineOrderAnswer answer = engine.carryOut(order, expected, this.now);
		if (answer == EngineOrderAnswer.CONFLICT) {
			this.conflicts++;
		}
		if (answer == EngineOrderAnswer.BEGUN && order instanceof EngineOrderCall.Join) {
			before.filter((head) -> servesFor(head, seat)).ifPresent((head) -> {
				throw new AssertionError(this.now + ": " + engine.name() + " was taken from " + seat.get().group()
						+ " while its head " + head.name() + " serves, by " + order);
			});
		}
		if (answer == EngineOrderAnswer.BEGUN && order instanceof EngineOrderCall.Open && !everReady(engine)) {
			throw new AssertionError(this.now + ": " + engine.name() + " was opened without all members, by " + order);
		}
		return answer;
	}

	// An engine that left is counted with its head until it joins another group: the head
	// serves on for some time, knowing nothing of it.
	private Optional<FakeEngine> headOf(FakeEngine engine) {
		return engine.members().isEmpty() ? Optional.empty()
				: Optional.ofNullable(this.engines.get(engine.members().get(0)));
	}

	// A head serves its group until it leaves, dies, or has stood still for the stall
	// time; a head that lost a member is counted as serving only while all its
	// members are there.
	private boolean servesFor(FakeEngine head, Optional<EngineOrderCall.Join> seat) {
		return head.isOpen() && seat.isPresent()
				&& head.membership().filter((own) -> own.group().equals(seat.get().group())).isPresent();
	}

	private boolean everReady(FakeEngine head) {
		return head.members()
			.stream()
			.map(this.engines::get)
			.allMatch((member) -> member.membership()
				.filter((seat) -> seat.group().equals(head.membership().orElseThrow().group())
						&& (seat.state() == MemberState.READY || seat.state() == MemberState.OPEN))
				.isPresent());
	}

	private boolean whole(FakeEngine head) {
		return head.members()
			.stream()
			.map(this.engines::get)
			.allMatch((member) -> member.alive() && member.membership()
				.filter((seat) -> seat.group().equals(head.membership().orElseThrow().group()))
				.isPresent());
	}

	/**
	 * An order that was not answered and is carried out later.
	 *
	 * @param engine the engine
	 * @param order the order
	 * @param expected the count of orders that it names
	 * @param at when it is carried out
	 */
	private record LateOrder(TargetName engine, EngineOrderCall order, long expected, Instant at) {
	}

	/**
	 * A node's control of groups, against this fleet.
	 */
	final class Controller {

		private final TargetDirectory directory = TargetDirectory.create();

		private final GroupControl control;

		private boolean running = true;

		private boolean storeCut;

		Controller(String name) {
			this.control = GroupControl.of(ServingSamples.settings(name), this.directory, name + "#1",
					FakeFleet.this.now);
		}

		void pause(boolean paused) {
			this.running = !paused;
		}

		void cutFromStore(boolean cut) {
			this.storeCut = cut;
		}

		void suspect(String head) {
			Effects effects = Effects.begin();
			this.control.suspect(TargetName.of(head), FakeFleet.this.now, effects);
			carryOutAll(effects);
		}

		void trafficBegins() {
			this.control.trafficSeen(FakeFleet.this.now);
		}

		private void step() {
			this.directory.recordStoreContact(!this.storeCut, FakeFleet.this.now);
			if (!this.storeCut) {
				this.directory.replaceAll(entries(), FakeFleet.this.now);
			}
			Effects effects = Effects.begin();
			this.control.tick(
					new GroupControl.Sight(Optional.of(ServingSamples.configuration(1)),
							(head, now) -> FakeFleet.this.requests, false, storeAwayForAll()),
					FakeFleet.this.now, effects);
			carryOutAll(effects);
		}

		private List<TargetEntry> entries() {
			return FakeFleet.this.engines.values()
				.stream()
				.filter((engine) -> FakeFleet.this.heard.get(engine.name()).plus(LAPSE).isAfter(FakeFleet.this.now))
				.map((engine) -> engine.reachable() ? engine.entry()
						: this.directory.find(engine.name()).orElseGet(engine::entry))
				.toList();
		}

		private void carryOutAll(Effects effects) {
			for (EntryEffect effect : effects.all()) {
				Effects next = Effects.begin();
				if (effect instanceof EntryEffect.SendOrder order) {
					send(order, next);
				}
				else if (effect instanceof EntryEffect.ReadReport read) {
					report(read, next);
				}
				else {
					callLease(effect, next);
				}
				if (!next.all().isEmpty()) {
					carryOutAll(next);
				}
			}
		}

		private void send(EntryEffect.SendOrder order, Effects next) {
			FakeEngine engine = FakeFleet.this.engines.get(order.target().name());
			EngineOrderAnswer answer;
			if (!engine.reachable()) {
				answer = EngineOrderAnswer.NOTHING_LISTENS;
			}
			else if (FakeFleet.this.random.nextDouble() < FakeFleet.this.lateShare) {
				long millis = 2000 + FakeFleet.this.random.nextInt(10_000);
				FakeFleet.this.late.add(new LateOrder(engine.name(), order.order(), order.ordersAccepted(),
						FakeFleet.this.now.plusMillis(millis)));
				answer = EngineOrderAnswer.NOT_KNOWN;
			}
			else {
				answer = carryOut(engine, order.order(), order.ordersAccepted());
			}
			this.control.orderAnswered(order.target().name(), order.order(), answer, FakeFleet.this.now, next);
		}

		private void report(EntryEffect.ReadReport read, Effects next) {
			FakeEngine engine = FakeFleet.this.engines.get(read.target().name());
			if (engine.reachable()) {
				this.control.reportRead(engine.name(), engine.report(), FakeFleet.this.now, next);
			}
			else {
				this.control.reportFailed(engine.name(), EngineOrderAnswer.NOT_KNOWN, FakeFleet.this.now, next);
			}
		}

		private void callLease(EntryEffect effect, Effects next) {
			LeaseAnswer answer = null;
			if (this.storeCut) {
				answer = new LeaseAnswer.Unavailable("cut");
			}
			else if (effect instanceof EntryEffect.ReadLease) {
				answer = FakeFleet.this.lease.<LeaseAnswer>map((held) -> new LeaseAnswer.Present(held, false))
					.orElseGet(LeaseAnswer.Absent::new);
			}
			else if (effect instanceof EntryEffect.CreateLease create) {
				answer = write(new Lease(create.holder(), 1, 0), FakeFleet.this.lease.isEmpty());
			}
			else if (effect instanceof EntryEffect.ReplaceLease replace) {
				answer = write(replace.lease(),
						FakeFleet.this.lease.filter((held) -> held.revision() == replace.lease().revision())
							.isPresent());
			}
			if (answer != null && !(effect instanceof EntryEffect.Log)) {
				this.control.leaseAnswered(answer, FakeFleet.this.now, next);
			}
		}

		private LeaseAnswer write(Lease wanted, boolean allowed) {
			if (!allowed) {
				return new LeaseAnswer.Conflict(FakeFleet.this.lease.orElseThrow());
			}
			Lease written = new Lease(wanted.holder(), wanted.term(),
					FakeFleet.this.lease.map(Lease::revision).orElse(0L) + 1);
			FakeFleet.this.lease = Optional.of(written);
			return new LeaseAnswer.Present(written, true);
		}

	}

}
