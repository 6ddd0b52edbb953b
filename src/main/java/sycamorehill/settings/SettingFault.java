package sycamorehill.settings;

/**
 * A fault in a settings file.
 *
 * @param section name of the section, empty if the fault concerns the whole file or a key
 * outside any section
 * @param key key within the section, empty if the fault concerns the whole section or
 * file
 * @param value the value found, empty if there is none; the file's path if the file can't
 * be read
 * @param expected description of the fault or of the expected value
 */
public record SettingFault(String section, String key, String value, String expected) {

	@Override
	public String toString() {
		String place = "[" + this.section + "]" + (this.key.isEmpty() ? "" : " " + this.key);
		String found = this.value.isEmpty() ? "" : " = '" + this.value + "'";
		return place + found + ": " + this.expected;
	}

}
