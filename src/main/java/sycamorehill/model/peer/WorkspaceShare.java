package sycamorehill.model.peer;

import sycamorehill.model.identity.WorkspaceName;

/**
 * A share of the limits of one workspace.
 *
 * @param workspace the workspace
 * @param amounts the amounts of the share
 */
public record WorkspaceShare(WorkspaceName workspace, ShareAmounts amounts) {
}
