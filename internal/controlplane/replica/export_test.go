package replica

import "mothcleat/internal/storage/store"

// Adopt has a copied folder count as made where it lies.
func Adopt(dir string) error {
	made, err := place(dir)
	if err != nil {
		return err
	}
	s, err := store.Open(dir, store.Options{})
	if err != nil {
		return err
	}
	var batch store.Batch
	batch.Put(keyPlace, made)
	if err := s.Commit(&batch, store.Buffered); err != nil {
		return err
	}
	return s.Close()
}
