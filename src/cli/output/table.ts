/** Tables for people. */

const COLUMN_GAP = "  ";

/**
 * Renders rows as a table.
 *
 * @param header - Titles of the columns.
 * @param rows - Cells of each row.
 * @returns Aligned lines, each ended by a line break.
 */
export function renderTable(
  header: readonly string[],
  rows: readonly string[][],
): string {
  const lines = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? "").length))
  );
  return lines.map((line) => `${renderLine(line, widths)}\n`).join("");
}

function renderLine(
  line: readonly string[],
  widths: readonly number[],
): string {
  return line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(
    COLUMN_GAP,
  ).trimEnd();
}
