package sycamorehill.model.serving;

/**
 * An engine's place in a group, as the engine reports it.
 *
 * @param group the group's name
 * @param epoch the group's epoch
 * @param rank place in the list of members; rank 0 is the head, which takes the requests
 * @param state where the engine stands
 */
public record Membership(String group, long epoch, int rank, MemberState state) {
}
