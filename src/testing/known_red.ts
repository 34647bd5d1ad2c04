/** Known failures: cases that fail for a recorded fault do not fail the run. */

const TEST_LINE = /^test: (\S+) > (.+)$/gm;

/** A case that is known to fail. */
export interface KnownRedCase {
  /** Path of the test file below `src`. */
  readonly file: string;
  /** Title of the case with the titles of its inner blocks. */
  readonly title: string;
}

/**
 * Reads the list of known failures.
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
 * Tells which failing cases of a file are known.
 *
 * @param file - Path of the test file below `src`.
 * @param failedTitles - Titles of its failing cases.
 * @param known - The list of known failures.
 * @returns The titles that are on the list.
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
