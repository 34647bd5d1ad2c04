/** Nested `describe` blocks on top of uvu, which supports only flat suites. */
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
 * Groups test cases; blocks can be nested.
 *
 * @param title - Title of the block.
 * @param body - Declares cases, hooks and nested blocks.
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
 * Declares a test case.
 *
 * @param title - Describes the expected behaviour.
 * @param body - Throws when the behaviour differs.
 * @throws Error when it is called outside of a `describe` block.
 */
export function it(title: string, body: Body): void {
  const blocks = [...open];
  if (blocks.length === 0) {
    throw new Error(`case '${title}' is declared outside of a describe block`);
  }
  const fullTitle = [...blocks.slice(1).map((block) => block.title), title]
    .join(
      " > ",
    );
  cases.push({ title: fullTitle, body: () => runCase(blocks, body) });
}

/**
 * Declares a hook that runs before each case of the block and its nested
 * blocks.
 *
 * @param body - The hook.
 * @throws Error when it is called outside of a `describe` block.
 */
export function beforeEach(body: Body): void {
  currentBlock().before.push(body);
}

/**
 * Declares a hook that runs after each case of the block and its nested blocks.
 *
 * @param body - The hook; it runs after a failed case too.
 * @throws Error when it is called outside of a `describe` block.
 */
export function afterEach(body: Body): void {
  currentBlock().after.push(body);
}

function currentBlock(): Block {
  const block = open.at(-1);
  if (block === undefined) {
    throw new Error("a hook is declared outside of a describe block");
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
