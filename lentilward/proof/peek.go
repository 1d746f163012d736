package proof

// WouldAdmit is as Admits and changes nothing: OnChange is not called.
func (f *Fence) WouldAdmit() bool {
	within := f.Within()
	return within == 0 || f.Age() <= within-arrivalMargin
}
