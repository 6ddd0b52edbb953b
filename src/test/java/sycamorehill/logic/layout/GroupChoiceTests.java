package sycamorehill.logic.layout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import sycamorehill.model.serving.ModelFigures;
import sycamorehill.model.serving.TargetEntry;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Which group is formed next, of which engines.
 */
class GroupChoiceTests {

	private static TargetEntry engine(String name, String domain, ModelFigures... held) {
		TargetEntry plain = ServingSamples.engine(name, domain);
		Set<String> staged = (held.length > 0) ? Set.of(held[0].name()) : Set.of();
		return new TargetEntry(plain.name(), plain.service(), plain.address(), plain.dataCentre(), plain.slots(), false,
				1, plain.domain(), staged, Optional.empty(), Optional.empty());
	}

	private static Optional<GroupChoice.Proposal> next(List<TargetEntry> free, int large, int small) {
		GroupChoice choice = GroupChoice.of(ServingSamples.engineFigures(), GroupCount.of(List.of(), List.of()),
				(model, loading) -> model.equals(ServingSamples.LARGE) ? large : small,
				DomainHolders.of(free, List.of()));
		return choice.next(free, (engine, urgent) -> true, true);
	}

	// Three survivors of a group of four wait for a fourth engine, and pairs are missing
	// too.
	// Loading the survivors anew for a pair would cost the group of four for 16 s or
	// more.
	@Test
	void survivorsKeepTheirWeightsWhileTheirModelLacksGroups() {
		List<TargetEntry> free = List.of(engine("a", "d0", ServingSamples.LARGE),
				engine("b", "d0", ServingSamples.LARGE), engine("c", "d0", ServingSamples.LARGE));
		assertThat(next(free, 1, 1)).isEmpty();
		assertThat(next(free, 0, 1).orElseThrow().model()).isEqualTo(ServingSamples.SMALL);
	}

	// Groups of four are lost one by one, and each domain has two or three engines free.
	// Pairs were formed of them wherever two were empty, so that no domain ever got four
	// again: with 18 engines free, one group of four served of three that were wanted.
	// The
	// domain that is nearest to a group of four is kept for it.
	@Test
	void pairsLeaveTheDomainThatIsNearestToALargeGroup() {
		List<TargetEntry> near = List.of(engine("a", "d0", ServingSamples.LARGE), engine("b", "d0"), engine("c", "d0"));
		assertThat(next(near, 1, 1)).isEmpty();
		List<TargetEntry> both = new ArrayList<>(near);
		both.add(engine("x", "d1"));
		both.add(engine("y", "d1"));
		assertThat(next(both, 1, 1).orElseThrow().members().get(0).domain()).contains("d1");
	}

	// Members in two fabric domains would serve at a third of the speed.
	@Test
	void neverFormsAGroupAcrossDomains() {
		List<TargetEntry> free = List.of(engine("a", "d0"), engine("b", "d1"), engine("c", "d2"));
		assertThat(next(free, 1, 1)).isEmpty();
	}

	@Test
	void prefersEnginesThatHoldTheWeights() {
		List<TargetEntry> free = new ArrayList<>();
		for (String name : List.of("a", "b", "c", "d", "e")) {
			free.add(engine(name, "d0"));
		}
		free.add(engine("x", "d1", ServingSamples.SMALL));
		free.add(engine("y", "d1", ServingSamples.SMALL));
		GroupChoice.Proposal proposal = next(free, 0, 1).orElseThrow();
		assertThat(proposal.loads()).isZero();
		assertThat(proposal.members().get(0).domain()).contains("d1");
	}

}
