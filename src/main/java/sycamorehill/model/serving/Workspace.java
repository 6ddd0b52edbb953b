package sycamorehill.model.serving;

import sycamorehill.model.identity.WorkspaceName;

/**
 * A workspace that callers belong to by their key.
 *
 * @param name the name that targets are told
 * @param priority rank among workspaces, 0 is the most urgent; it goes before the rank of
 * the route
 */
public record Workspace(WorkspaceName name, int priority) {
}
