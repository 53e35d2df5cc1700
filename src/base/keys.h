/* Keys of the state service. Each is owned by one slice, which documents its value; they stand here
 * together since other slices compare them, delete them, or dispatch by them. Never renamed:
 * earlier versions read them. */
#ifndef PM_BASE_KEYS_H
#define PM_BASE_KEYS_H

/* All keys of the project start with this. */
#define PM_KEY_ROOT "p/"

/* leadership */
#define PM_KEY_EPOCH "p/epoch"
#define PM_KEY_LEADER_LOCK "p/lead"
#define PM_KEY_COMMON_VERSION "p/speaks"
#define PM_KEY_VERSION_PREFIX "p/speaks/"      /* and a controller's name */
#define PM_KEY_ACKED_REVISION_PREFIX "p/seen/" /* and a controller's name */
/* jobs */
#define PM_KEY_JOB_PREFIX "p/j/"             /* and a job's id */
#define PM_KEY_CHUNK_PREFIX "p/t/"           /* and a job's id, a number, and perhaps a half */
#define PM_KEY_DEPENDENCY_LIST_PREFIX "p/n/" /* and a job's id, and a number */
/* scheduler */
#define PM_KEY_LEDGER "p/ledger"
/* autoscaler */
#define PM_KEY_MACHINE_TYPES "p/types"
/* shards */
#define PM_KEY_SHARD_PREFIX "p/b/" /* and the owner's name */
/* roles */
#define PM_KEY_ROLE_PREFIX "p/duty/"     /* and a role's name */
#define PM_KEY_DRAIN_PREFIX "p/drain/"   /* and a role's name */
#define PM_KEY_INTENT_PREFIX "p/intent/" /* and an intent's name */
/* links */
#define PM_KEY_VIEW_PREFIX "p/links/" /* and a controller's name */

#endif
