/** Renders explanations as text. */
import type { DecisionCause, DecisionRecord } from "../../domain/index.ts";
import type { ExplanationResponse } from "../api/index.ts";

/**
 * Renders an explanation as text.
 *
 * @param explanation - The present state of a subject, and the decisions about
 * it, newest first.
 * @returns The summary and the present state, then one block for each decision.
 */
export function renderExplanation(explanation: ExplanationResponse): string {
  const { subject, summary, present, records } = explanation;
  const head = summary === undefined
    ? `${subject}\n`
    : `${subject}: ${summary}\n`;
  const now = present === undefined ? "" : renderPresent(present);
  if (records.length === 0) {
    return `${head}${now}  no automated action is on record\n`;
  }
  return head + now + records.map(renderRecord).join("");
}

function renderPresent(
  { lines, causes }: NonNullable<ExplanationResponse["present"]>,
): string {
  return [
    ...lines.map((line) => `now: ${line}`),
    ...causes.map((cause) => `    because ${renderCause(cause)}`),
  ].map((line) => `  ${line}\n`).join("");
}

function renderRecord(record: DecisionRecord): string {
  const times = record.count === 1 ? "" : ` (${record.count} times)`;
  const lines = [
    `${formatTime(record.atMs)}  ${record.action}${times}: ${record.summary}`,
    ...record.causes.map((cause) => `    because ${renderCause(cause)}`),
    ...Object.entries(record.figures).map(([name, value]) =>
      `    saw ${name} = ${value}`
    ),
    ...record.rejected.map((alternative) => `    rejected ${alternative}`),
    `    decision ${record.decisionId}, configuration revision ${record.revision}`,
  ];
  return lines.map((line) => `  ${line}\n`).join("");
}

function renderCause(cause: DecisionCause): string {
  const { resource, field, value, setBy, setAtMs, revision } = cause;
  const who = `set by ${setBy} at ${
    formatTime(setAtMs)
  } in revision ${revision}`;
  return `${resource.kind}/${resource.name} ${field} = ${value}, ${who}`;
}

function formatTime(atMs: number): string {
  return new Date(atMs).toISOString();
}
