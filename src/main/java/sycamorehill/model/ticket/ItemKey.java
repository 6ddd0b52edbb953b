package sycamorehill.model.ticket;

/**
 * Identifies one item.
 *
 * @param kind the kind of item
 * @param name the name, unique within the kind
 */
public record ItemKey(ItemKind kind, String name) implements Comparable<ItemKey> {

	/**
	 * Creates a key.
	 * @param kind the kind of item
	 * @param name the name of the item
	 * @return the key
	 */
	public static ItemKey of(ItemKind kind, String name) {
		return new ItemKey(kind, name);
	}

	@Override
	public int compareTo(ItemKey other) {
		int byKind = this.kind.compareTo(other.kind);
		return (byKind != 0) ? byKind : this.name.compareTo(other.name);
	}

}
