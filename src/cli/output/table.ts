/** Renders text tables. */

const COLUMN_GAP = "  ";

/**
 * Renders rows as a table with aligned columns.
 *
 * @param header - Headings of the columns.
 * @param rows - Cells of each row.
 * @returns The lines of the table, each terminated by a line break.
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
