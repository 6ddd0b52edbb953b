package sycamorehill.logic.dispatch;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import sycamorehill.logic.Effects;
import sycamorehill.logic.directory.TargetDirectory;
import sycamorehill.logic.placement.RendezvousHash;
import sycamorehill.model.identity.DataCentreName;
import sycamorehill.model.identity.NodeName;
import sycamorehill.model.identity.TargetName;
import sycamorehill.model.log.LogEvent;
import sycamorehill.model.serving.EntryEffect;
import sycamorehill.model.serving.NodeMessage;
import sycamorehill.model.serving.NodeRecord;
import sycamorehill.model.serving.RequestRate;
import sycamorehill.model.serving.TargetEntry;

/**
 * Keeps to what targets in need take from all nodes together. A limit that each node kept
 * to by itself would be passed as many times as there are nodes, so a few nodes share the
 * target, of its own data centre first, each with an equal part; the others send nothing.
 * All nodes that know the same nodes pick the same ones.
 */
final class TargetLimits {

	/**
	 * What a target said is told again so often, for nodes that a message did not reach.
	 */
	private static final Duration TOLD_EVERY = Duration.ofSeconds(3);

	/**
	 * Times that a limit is told to be over: with one message in ten lost, none misses
	 * it.
	 */
	private static final int TIMES_LIFTED = 4;

	/**
	 * A limit of which nothing is heard for so long is over. A target that nobody asks
	 * says nothing, and may be in need all the while.
	 */
	private static final Duration KEPT = Duration.ofMinutes(2);

	/** Answers on several connections overtake each other by less. */
	private static final Duration LIFTED_AFTER = Duration.ofSeconds(1);

	private static final String DUTY = "limit/";

	private final NodeRecord self;

	private final TargetDirectory directory;

	private final Map<TargetName, TargetLimit> limits = new HashMap<>();

	private final Map<TargetName, Lifted> lifted = new HashMap<>();

	private List<NodeRecord> others = List.of();

	private TargetLimits(NodeRecord self, TargetDirectory directory) {
		this.self = self;
		this.directory = directory;
	}

	static TargetLimits of(NodeRecord self, TargetDirectory directory) {
		return new TargetLimits(self, directory);
	}

	/**
	 * Shares all limits out anew, forgets those that are out of date, and tells again of
	 * those that are over.
	 * @param nodes the other nodes that send requests
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void nodes(List<NodeRecord> nodes, Instant now, Effects effects) {
		this.others = nodes;
		this.limits.values().removeIf((limit) -> now.isAfter(limit.namedAt().plus(KEPT)));
		this.limits.forEach((target, limit) -> share(target, limit, now));
		this.lifted.replaceAll((target, over) -> tellAgain(target, over, now, effects));
		this.lifted.values().removeIf((over) -> over.timesLeft() == 0);
	}

	private Lifted tellAgain(TargetName target, Lifted over, Instant now, Effects effects) {
		if (now.isBefore(over.nextAt())) {
			return over;
		}
		tell(target, Optional.empty(), effects);
		return new Lifted(over.timesLeft() - 1, now.plus(TOLD_EVERY));
	}

	/**
	 * Takes what a target said with an answer.
	 * @param target the target
	 * @param limit what it takes from all nodes; empty if it names no limit
	 * @param sentAt when the request was sent that it answers
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void answered(TargetName target, Optional<RequestRate> limit, Instant sentAt, Instant now, Effects effects) {
		TargetLimit known = this.limits.get(target);
		if (limit.isPresent()) {
			boolean news = known == null || !known.rate().equals(limit.get());
			TargetLimit named = take(target, limit.get(), this.self.name(), now, effects);
			if (news || now.isAfter(named.toldAt().plus(TOLD_EVERY))) {
				named.told(now);
				tell(target, limit, effects);
			}
		}
		else if (known != null && !sentAt.isBefore(known.since()) && now.isAfter(known.namedAt().plus(LIFTED_AFTER))) {
			lift(target, this.self.name(), effects);
			tell(target, limit, effects);
			this.lifted.put(target, new Lifted(TIMES_LIFTED - 1, now.plus(TOLD_EVERY)));
		}
	}

	/**
	 * Takes what another node was told by a target.
	 * @param told what it was told
	 * @param now the present time
	 * @param effects collects what is wanted
	 */
	void heard(NodeMessage.TargetLimited told, Instant now, Effects effects) {
		if (told.limit().isPresent()) {
			take(told.target(), told.limit().get(), told.sender(), now, effects).told(now);
		}
		else if (this.limits.containsKey(told.target())) {
			lift(told.target(), told.sender(), effects);
		}
	}

	private TargetLimit take(TargetName target, RequestRate rate, String teller, Instant now, Effects effects) {
		this.lifted.remove(target);
		TargetLimit known = this.limits.get(target);
		if (known != null && known.rate().equals(rate)) {
			known.named(rate, now);
			return known;
		}
		TargetLimit limit = this.limits.computeIfAbsent(target, (name) -> TargetLimit.of(rate, now));
		limit.named(rate, now);
		share(target, limit, now);
		effects.log(LogEvent.TARGET_LIMITED, "target=" + target + " per-second=" + rate.perSecond() + " sharing="
				+ limit.sharing() + " shares=" + limit.shares() + " told-by=" + teller);
		return limit;
	}

	private void lift(TargetName target, String teller, Effects effects) {
		this.limits.remove(target);
		effects.log(LogEvent.TARGET_LIMITED, "target=" + target + " lifted told-by=" + teller);
	}

	private void tell(TargetName target, Optional<RequestRate> limit, Effects effects) {
		effects.add(new EntryEffect.TellAll(new NodeMessage.TargetLimited(this.self.name(), target, limit)));
	}

	private void share(TargetName target, TargetLimit limit, Instant now) {
		Optional<DataCentreName> dataCentre = this.directory.find(target).map(TargetEntry::dataCentre);
		List<String> sharing = Stream.concat(Stream.of(this.self), this.others.stream())
			.sorted(Comparator.comparing((NodeRecord node) -> dataCentre.filter(node.dataCentre()::equals).isEmpty())
				.thenComparingLong((node) -> RendezvousHash.weight(DUTY + target, NodeName.of(node.name()))))
			.limit(limit.sharing())
			.map(NodeRecord::name)
			.toList();
		limit.share(sharing.size(), sharing.contains(this.self.name()), now);
	}

	/**
	 * Leaves out the targets that get no request from this node now.
	 * @param candidates the targets that serve
	 * @param now the present time
	 * @return those that may be given one
	 */
	List<Candidate> open(List<Candidate> candidates, Instant now) {
		if (this.limits.isEmpty()) {
			return candidates;
		}
		return candidates.stream().filter((candidate) -> allows(candidate.entry().name(), now)).toList();
	}

	private boolean allows(TargetName target, Instant now) {
		TargetLimit limit = this.limits.get(target);
		return limit == null || limit.allows(now);
	}

	void sent(TargetName target, Instant now) {
		Optional.ofNullable(this.limits.get(target)).ifPresent((limit) -> limit.sent(now));
	}

	void forget(TargetName target) {
		this.limits.remove(target);
		this.lifted.remove(target);
	}

	/**
	 * A limit that is over.
	 *
	 * @param timesLeft how often that is told yet
	 * @param nextAt when it is told next
	 */
	private record Lifted(int timesLeft, Instant nextAt) {
	}

}
