package sycamorehill.logic.entry;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import sycamorehill.model.identity.TargetName;
import sycamorehill.model.serving.AttemptEnd;
import sycamorehill.model.serving.Configuration;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.EntryEvent;
import sycamorehill.model.serving.MemberState;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.TargetChange;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ConfigurationChange;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no series of changes of the configuration, the directory and the groups ends
 * or refuses a request in flight whose target goes on.
 */
class SeriesOfChangesTests {

	private static final int REQUESTS = 12;

	private static final int STEPS = 40;

	private static final int GROUPS = 4;

	private static final List<String> PATHS = List.of("/stream/", "/single/", "/again/", "/once/");

	private final Map<Long, Integer> attempts = new HashMap<>();

	private Random random;

	private Instant now;

	private EntryReducer node;

	private long version;

	private long revision;

	@Property(tries = 300, seed = "47")
	void noSeriesOfChangesEndsARequestInFlight(@ForAll long seed) {
		this.random = new Random(seed);
		this.now = Instant.ofEpochSecond(1000);
		this.node = EntryReducer.of(ServingSamples.settings("one"), "one#1", new Random(seed), this.now);
		this.attempts.clear();
		this.version = 1;
		this.revision = 1;
		accept(new EntryEvent.ConfigurationRead(ServingSamples.configuration(1), 1));
		accept(new EntryEvent.TargetsListed(targets(1), this.revision));
		for (long number = 1; number <= REQUESTS; number++) {
			accept(new EntryEvent.RequestArrived(
					ServingSamples.request(number, PATHS.get(this.random.nextInt(PATHS.size())) + number)));
		}
		assertThat(this.attempts).hasSize(REQUESTS);
		for (int step = 0; step < STEPS; step++) {
			this.now = this.now.plusMillis(this.random.nextInt(120));
			accept(nextEvent());
		}
		List.copyOf(this.attempts.keySet())
			.forEach((number) -> accept(new EntryEvent.AttemptEnded(number, this.attempts.get(number),
					new AttemptEnd.Delivered(200, Duration.ZERO))));
		assertThat(this.node.activeRequests()).isZero();
	}

	private EntryEvent nextEvent() {
		return switch (this.random.nextInt(8)) {
			case 0, 1, 2 -> new EntryEvent.ConfigurationRead(nextConfiguration(), 1);
			case 3 -> new EntryEvent.AnswerStarted(1 + this.random.nextInt(REQUESTS));
			case 4 -> new EntryEvent.TargetsListed(someTargets(), ++this.revision);
			case 5 -> new EntryEvent.TargetsChanged(changes(), this.revision, ++this.revision);
			case 6 -> {
				int group = this.random.nextInt(GROUPS);
				long epoch = 1 + this.random.nextInt(2);
				yield new EntryEvent.MessageReceived(
						new NodeMessage.GroupEnded("two", TargetName.of("h" + group), "small." + group + epoch, epoch));
			}
			default -> new EntryEvent.Ticked();
		};
	}

	private Configuration nextConfiguration() {
		this.version += this.random.nextInt(4) - 1;
		ConfigurationChange[] changes = ConfigurationChange.values();
		Configuration one = changes[this.random.nextInt(changes.length)].apply(ServingSamples.configuration(1),
				this.version);
		return this.random.nextBoolean() ? one
				: changes[this.random.nextInt(changes.length - 1)].apply(withEngines(one), this.version);
	}

	// Some changes need the engines that another one has removed.
	private Configuration withEngines(Configuration configuration) {
		return configuration.service(ServingSamples.ENGINES).flatMap((service) -> service.engines()).isPresent()
				? configuration : ServingSamples.configuration(1);
	}

	private static List<TargetEntry> targets(long epoch) {
		List<TargetEntry> targets = new ArrayList<>();
		for (int number = 0; number < GROUPS; number++) {
			targets.add(ServingSamples.plain("p" + number));
			String group = "small." + number + epoch;
			targets.add(ServingSamples.member("h" + number, group, epoch, 0, MemberState.OPEN));
			targets.add(ServingSamples.member("m" + number, group, epoch, 1, MemberState.READY));
		}
		return targets;
	}

	private List<TargetEntry> someTargets() {
		List<TargetEntry> targets = new ArrayList<>(targets(1 + this.random.nextInt(2)));
		targets.removeIf((target) -> this.random.nextInt(3) == 0);
		return targets;
	}

	private List<TargetChange> changes() {
		return someTargets().stream()
			.map((target) -> new TargetChange(target.name(),
					this.random.nextBoolean() ? Optional.of(target.asLeaving()) : Optional.empty()))
			.toList();
	}

	private void accept(EntryEvent event) {
		for (EntryEffect effect : this.node.accept(event, this.now)) {
			if (effect instanceof EntryEffect.StartAttempt start) {
				this.attempts.put(start.number(), start.attempt());
			}
			else if (effect instanceof EntryEffect.CancelAttempt cancel) {
				// Only a stream of a group that has ended moves, to a place that is
				// found.
				assertThat(event).isInstanceOf(EntryEvent.MessageReceived.class);
				this.attempts.remove(cancel.number());
			}
			assertThat(effect).as("%s", event)
				.isNotInstanceOfAny(EntryEffect.AbortAnswer.class, EntryEffect.Answer.class,
						EntryEffect.ReturnHeldFailure.class);
		}
		if (event instanceof EntryEvent.MessageReceived) {
			assertThat(this.attempts).as("%s", event).hasSize(REQUESTS);
		}
	}

}
