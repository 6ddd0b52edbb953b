/**
 * Control of the groups of engines: who controls, which groups are formed of which
 * engines, and how a group that lost a member is replaced.
 */
package sycamorehill.logic.layout;
