package sycamorehill.model.serving;

/**
 * Membership of an engine in a group, as the engine reports it.
 *
 * @param group the group's name
 * @param epoch the group's epoch
 * @param rank index in the list of members; rank 0 is the head, which receives the
 * requests
 * @param state state of the engine within the group
 */
public record Membership(String group, long epoch, int rank, MemberState state) {
}
