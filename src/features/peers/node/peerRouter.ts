import * as zod from 'zod';

import {
  createRpcRouter,
  peerProcedure,
} from '../../../infrastructure/rpc/node/rpc.js';
import {ConfigurationRevision} from '../../configuration/common/configuration.js';
import {
  AgedRecord,
  ExchangeResponse,
  ExchangeRequest,
  PeerNotice,
  PeerNoticeResponse,
  PeerSnapshot,
  RosterResponse,
} from '../common/peerMessages.js';
import {PeerResponder} from '../common/peerResponder.js';

const TEXT_LENGTH_LIMIT = 256;
const REVISION_LIMIT = 100;

const text = zod.string().max(TEXT_LENGTH_LIMIT);
const revisionNumber = zod.int().min(0);

const recordSchema = zod.object({
  id: text,
  incarnation: text.optional(),
  ready: zod.boolean(),
  leaving: zod.boolean(),
});

const exchangeSchema = zod.object({
  record: recordSchema,
  revision: revisionNumber,
  members: text,
});

const revisionSchema = zod.object({
  revision: revisionNumber,
  operations: zod.array(zod.looseObject({kind: text})),
  operator: text,
  nonce: text,
  committedAtWallMilliseconds: zod.number(),
});

const noticeSchema = zod.object({
  record: recordSchema,
  revision: revisionNumber,
  members: text.optional(),
  revisions: zod.array(revisionSchema).max(REVISION_LIMIT).optional(),
});

/** Creates the procedures that control programs call on each other. */
export function createPeerRouter(responder: PeerResponder) {
  return createRpcRouter({
    peer: createRpcRouter({
      exchange: peerProcedure
        .input(exchangeSchema)
        .mutation(({input}): ExchangeResponse =>
          responder.exchange(toRequest(input)),
        ),
      notice: peerProcedure
        .input(noticeSchema)
        .mutation(({input}): PeerNoticeResponse =>
          responder.notice(toNotice(input)),
        ),
      roster: peerProcedure.query((): RosterResponse => responder.roster()),
      records: peerProcedure.query((): readonly AgedRecord[] =>
        responder.records(),
      ),
      snapshot: peerProcedure.query((): PeerSnapshot => responder.snapshot()),
    }),
  });
}

/** The router type, from which clients derive their calls. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

function toRequest(input: zod.infer<typeof exchangeSchema>): ExchangeRequest {
  return {...input, record: toRecord(input.record)};
}

function toNotice(input: zod.infer<typeof noticeSchema>): PeerNotice {
  const {record, revision, members} = input;
  const notice = {
    record: toRecord(record),
    revision,
    ...(members === undefined ? {} : {members}),
  };
  // Peers are authenticated, and proposers validated all committed operations.
  const revisions = input.revisions as unknown as
    readonly ConfigurationRevision[] | undefined;
  return revisions === undefined ? notice : {...notice, revisions};
}

function toRecord(record: zod.infer<typeof recordSchema>) {
  return {...record, incarnation: record.incarnation};
}
