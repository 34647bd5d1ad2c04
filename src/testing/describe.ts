/** Nested `describe` blocks over uvu, which has flat suites only. */
import { suite } from "uvu";

type Body = () => void | Promise<void>;

interface Block {
  readonly title: string;
  readonly before: Body[];
  readonly after: Body[];
}

interface Case {
  readonly title: string;
  readonly body: Body;
}

const open: Block[] = [];
let cases: Case[] = [];

/**
 * Groups cases; blocks may be nested.
 *
 * @param title - What the cases are about.
 * @param body - Declares cases and further blocks.
 */
export function describe(title: string, body: () => void): void {
  open.push({ title, before: [], after: [] });
  body();
  open.pop();
  if (open.length === 0) {
    runCases(title);
  }
}

/**
 * Declares a case.
 *
 * @param title - What must hold.
 * @param body - Throws when it does not hold.
 */
export function it(title: string, body: Body): void {
  const blocks = [...open];
  if (blocks.length === 0) {
    throw new Error(`case '${title}' stands outside of any describe block`);
  }
  const path = [...blocks.slice(1).map((block) => block.title), title].join(
    " > ",
  );
  cases.push({ title: path, body: () => runCase(blocks, body) });
}

/**
 * Declares what runs before each case of the block and of blocks inside it.
 *
 * @param body - The preparation.
 */
export function beforeEach(body: Body): void {
  currentBlock().before.push(body);
}

/**
 * Declares what runs after each case of the block and of blocks inside it.
 *
 * @param body - The clean-up; it runs after a failure too.
 */
export function afterEach(body: Body): void {
  currentBlock().after.push(body);
}

function currentBlock(): Block {
  const block = open.at(-1);
  if (block === undefined) {
    throw new Error("a hook stands outside of any describe block");
  }
  return block;
}

async function runCase(blocks: readonly Block[], body: Body): Promise<void> {
  try {
    for (const hook of blocks.flatMap(({ before }) => before)) {
      await hook();
    }
    await body();
  } finally {
    for (const hook of blocks.toReversed().flatMap(({ after }) => after)) {
      await hook();
    }
  }
}

function runCases(title: string): void {
  const test = suite(title);
  for (const declared of cases) {
    test(declared.title, declared.body);
  }
  cases = [];
  test.run();
}
