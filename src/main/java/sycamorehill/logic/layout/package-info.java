/**
 * Forms, opens and disbands the groups of engines: decides which node controls them,
 * which engines form which groups, and how a group that lost a member is replaced.
 */
package sycamorehill.logic.layout;
