/**
 * Known failures: a failing case that is listed in `KNOWN-RED.txt` does not
 * fail the test run.
 */

const TEST_LINE = /^test: (\S+) > (.+)$/gm;

/** A test case that is known to fail. */
export interface KnownRedCase {
  /** Path of the compiled file below `dist`, with the extension `.ts`. */
  readonly file: string;
  /** Title of the case, with the titles of its nested `describe` blocks. */
  readonly title: string;
}

/**
 * Parses the list of known failures.
 *
 * @param text - Content of `KNOWN-RED.txt`; each entry has a line
 * `test: FILE > TITLE`.
 * @returns The cases.
 */
export function parseKnownRed(text: string): KnownRedCase[] {
  return [...text.matchAll(TEST_LINE)].map(([, file = "", title = ""]) => ({
    file,
    title,
  }));
}

/**
 * Lists the failing cases of a file that are known failures.
 *
 * @param file - Path of the file, as in {@link KnownRedCase}.
 * @param failedTitles - Titles of its failing cases.
 * @param known - The list of known failures.
 * @returns Titles of the failing cases that are on the list.
 */
export function listKnownTitles(
  file: string,
  failedTitles: readonly string[],
  known: readonly KnownRedCase[],
): string[] {
  return failedTitles.filter((title) =>
    known.some((entry) => entry.file === file && entry.title === title)
  );
}
