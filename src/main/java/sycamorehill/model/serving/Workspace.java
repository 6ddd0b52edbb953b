package sycamorehill.model.serving;

import sycamorehill.model.identity.WorkspaceName;

/**
 * Workspace to which callers belong by their API key.
 *
 * @param name the name that is sent to targets
 * @param priority priority among workspaces, 0 is the most urgent; it takes precedence
 * over the priority of the route
 */
public record Workspace(WorkspaceName name, int priority) {
}
