package sycamorehill.model.peer;

import sycamorehill.model.identity.WorkspaceName;

/**
 * A part of one workspace's limits.
 *
 * @param workspace the workspace
 * @param amounts the part
 */
public record WorkspaceShare(WorkspaceName workspace, ShareAmounts amounts) {
}
