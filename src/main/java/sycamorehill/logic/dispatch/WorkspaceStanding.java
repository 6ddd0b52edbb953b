package sycamorehill.logic.dispatch;

import java.util.Locale;
import java.util.Optional;

import sycamorehill.model.identity.WorkspaceName;
import sycamorehill.model.serving.ServedModel;

/**
 * How a request stands to the fair share of its workspace.
 *
 * @param level the standing
 * @param share the workspace's use and its share; empty if there is none
 */
record WorkspaceStanding(Level level, Optional<Share> share) {

	/** The standing of requests without a share. */
	static final WorkspaceStanding UNCONTESTED = new WorkspaceStanding(Level.UNCONTESTED, Optional.empty());

	/**
	 * Standings.
	 */
	enum Level {

		/** The request is admitted as if there were no shares. */
		UNCONTESTED,

		/** The workspace is within its share, while others ask for more than theirs. */
		WITHIN_SHARE,

		/**
		 * The request is not covered by the share of its workspace, or more urgent routes
		 * of the workspace use the share up.
		 */
		OVER_SHARE

	}

	/**
	 * The use of a workspace and its fair share.
	 *
	 * @param workspace the workspace
	 * @param model the service or model
	 * @param use its use per second
	 * @param fair its share per second; infinite if all workspaces get what they ask for
	 * @param unit the unit of both
	 */
	record Share(WorkspaceName workspace, ServedModel model, double use, double fair, String unit) {

		@Override
		public String toString() {
			return String.format(Locale.ROOT, "workspace %s uses %.1f %s/s of %s, its fair share is %.1f",
					this.workspace, this.use, this.unit, this.model, this.fair);
		}

	}

}
