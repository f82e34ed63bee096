import {createHash, timingSafeEqual} from 'node:crypto';

import * as zod from 'zod';

const OPERATOR_LIMIT = 1_000;
const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/;

/** Schema of the operators file: operator names mapped to hex SHA-256 hashes of their keys. */
export const operatorKeysSchema = zod.record(
  zod.string().min(1).max(64),
  zod.string().regex(/^[0-9a-f]{64}$/, 'a hex SHA-256 hash'),
);

interface Operator {
  readonly name: string;
  readonly hash: Buffer;
}

/** Identifies operators by their bearer key; only hashes of the keys are stored. */
export class OperatorKeys {
  private readonly operators: readonly Operator[];

  constructor(hashes: Readonly<Record<string, string>>) {
    this.operators = Object.entries(hashes)
      .slice(0, OPERATOR_LIMIT)
      .map(([name, hash]) => ({name, hash: Buffer.from(hash, 'hex')}));
  }

  /** The operator's name; undefined when the header is missing or the key is unknown. */
  findOperator(authorization: string | undefined): string | undefined {
    const key = BEARER_PATTERN.exec(authorization ?? '')?.[1];
    if (key === undefined) {
      return undefined;
    }
    const hash = createHash('sha256').update(key).digest();
    return this.operators.find(operator => timingSafeEqual(operator.hash, hash))
      ?.name;
  }
}
