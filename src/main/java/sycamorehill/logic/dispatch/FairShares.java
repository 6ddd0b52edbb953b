package sycamorehill.logic.dispatch;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.ModelUse;
import sycamorehill.model.serving.WorkspaceUse;

/**
 * Max-min fair shares of one service or model, with equal weights. The capacity is what
 * all workspaces together were recently admitted with. A workspace that asks for less
 * than an equal part gets what it asks for; the others divide the remainder equally.
 */
final class FairShares {

	/**
	 * Part of what it asks for with which a workspace counts as served in full. Without a
	 * tolerance, one refusal among many requests would restrict other workspaces for
	 * seconds.
	 */
	private static final double FULLY_SERVED_PART = 0.99;

	/** Excess over its share up to which a workspace counts as within it. */
	private static final double TOLERATED_EXCESS = 0.02;

	/** Rounding errors of sums of reported amounts. */
	private static final double ROUNDING = 1e-6;

	private final Map<WorkspaceName, WorkspaceUse> byWorkspace;

	private final double share;

	private final int workspaces;

	private FairShares(Map<WorkspaceName, WorkspaceUse> byWorkspace, double share, int workspaces) {
		this.byWorkspace = byWorkspace;
		this.share = share;
		this.workspaces = workspaces;
	}

	/**
	 * Computes the shares.
	 * @param use the use of all nodes
	 * @param configured the workspaces that the configuration contains
	 * @return the shares
	 */
	static FairShares of(ModelUse use, Set<WorkspaceName> configured) {
		Map<WorkspaceName, WorkspaceUse> byWorkspace = new HashMap<>(use.byWorkspace());
		byWorkspace.keySet().retainAll(configured);
		double[] wanted = new double[byWorkspace.size() + use.restWorkspaces()];
		double capacity = use.rest().admitted();
		int index = 0;
		for (WorkspaceUse one : byWorkspace.values()) {
			wanted[index++] = wanted(one);
			capacity += one.admitted();
		}
		Arrays.fill(wanted, index, wanted.length, wanted(use.rest()) / Math.max(1, use.restWorkspaces()));
		return new FairShares(byWorkspace, largestShare(wanted, capacity), wanted.length);
	}

	private static double wanted(WorkspaceUse use) {
		return Math.max(use.admitted(), FULLY_SERVED_PART * use.asked());
	}

	private static double largestShare(double[] wanted, double capacity) {
		Arrays.sort(wanted);
		double remaining = capacity;
		for (int index = 0; index < wanted.length; index++) {
			double equalPart = remaining / (wanted.length - index);
			if (wanted[index] > equalPart * (1 + ROUNDING)) {
				return equalPart;
			}
			remaining -= wanted[index];
		}
		return Double.POSITIVE_INFINITY;
	}

	/**
	 * Returns whether an amount is above a share by more than the tolerance.
	 * @param amount the amount
	 * @param share the share
	 * @return true if it is
	 */
	static boolean exceeds(double amount, double share) {
		return amount > share * (1 + TOLERATED_EXCESS);
	}

	/**
	 * Returns the most that a workspace may be admitted with.
	 * @return the share; infinite if all workspaces get what they ask for
	 */
	double share() {
		return this.share;
	}

	boolean hasOneWorkspace() {
		return this.workspaces == 1;
	}

	WorkspaceUse use(WorkspaceName workspace) {
		return this.byWorkspace.getOrDefault(workspace, WorkspaceUse.NONE);
	}

}
