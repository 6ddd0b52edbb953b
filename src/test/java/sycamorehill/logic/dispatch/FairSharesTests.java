package sycamorehill.logic.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.ModelUse;
import sycamorehill.model.serving.ServedModel;
import sycamorehill.model.serving.WorkspaceUse;
import sycamorehill.support.ServingSamples;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests how capacity is divided among workspaces.
 */
class FairSharesTests {

	private static final ServedModel MODEL = new ServedModel(ServingSamples.ENGINES, Optional.of("small"));

	private final Map<WorkspaceName, WorkspaceUse> uses = new HashMap<>();

	private static WorkspaceName name(String value) {
		return WorkspaceName.of(value);
	}

	private FairSharesTests uses(String workspace, double asked, double admitted) {
		this.uses.put(name(workspace), new WorkspaceUse(asked, admitted));
		return this;
	}

	private FairShares shares() {
		return FairShares.of(new ModelUse(MODEL, this.uses), this.uses.keySet());
	}

	@Test
	void allGetWhatTheyAskForWhileNothingIsRefused() {
		assertThat(uses("a", 900, 900).uses("b", 10, 10).shares().share()).isInfinite();
	}

	@Test
	void whatSmallWorkspacesLeaveIsDividedEqually() {
		FairShares shares = uses("small", 100, 100).uses("a", 2000, 500).uses("b", 700, 400).shares();
		assertThat(shares.share()).isCloseTo(450, within(0.1));
	}

	// A workspace that is alone has the whole capacity, whatever it asks for.
	@Test
	void oneWorkspaceAloneHasTheWholeCapacity() {
		FairShares shares = uses("a", 5000, 800).shares();
		assertThat(shares.share()).isEqualTo(800);
		assertThat(shares.hasOneWorkspace()).isTrue();
	}

	// A small workspace that is refused shows what the flooding one takes from it.
	@Test
	void aFloodExceedsItsShareByWhatOthersLack() {
		FairShares shares = uses("flood", 9000, 900).uses("small", 200, 100).shares();
		assertThat(shares.share()).isCloseTo(802, within(0.1));
		assertThat(FairShares.exceeds(shares.use(name("flood")).admitted(), shares.share())).isTrue();
		assertThat(FairShares.exceeds(shares.use(name("small")).admitted(), shares.share())).isFalse();
	}

	// Reports of nodes with an older configuration still name the workspace.
	@Test
	void aRemovedWorkspaceTakesNoPart() {
		uses("removed", 9000, 900).uses("a", 100, 100);
		FairShares shares = FairShares.of(new ModelUse(MODEL, this.uses), Set.of(name("a"), name("b")));
		assertThat(shares.share()).isInfinite();
		assertThat(shares.use(name("removed"))).isEqualTo(WorkspaceUse.NONE);
	}

	@Test
	void theRestCountsAsEqualWorkspaces() {
		uses("flood", 9000, 600);
		ModelUse use = new ModelUse(MODEL, this.uses, new WorkspaceUse(400, 400), 4);
		assertThat(FairShares.of(use, this.uses.keySet()).share()).isCloseTo(600, within(0.1));
	}

	// A report names the workspaces with the most use; the sum stays the same.
	@Test
	void aBoundedReportKeepsTheSum() {
		for (int index = 0; index < 40; index++) {
			uses("w" + index, 10 + index, 5 + index);
		}
		ModelUse bounded = new ModelUse(MODEL, this.uses).bounded(8);
		assertThat(bounded.byWorkspace()).hasSize(8).containsKey(name("w39")).doesNotContainKey(name("w31"));
		assertThat(bounded.restWorkspaces()).isEqualTo(32);
		assertThat(bounded.byWorkspace().values().stream().reduce(bounded.rest(), WorkspaceUse::plus))
			.isEqualTo(this.uses.values().stream().reduce(WorkspaceUse.NONE, WorkspaceUse::plus));
	}

}
